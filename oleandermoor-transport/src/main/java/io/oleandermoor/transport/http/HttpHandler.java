package io.oleandermoor.transport.http;

/** Answers HTTP requests. Called on event loops; implementations must not block. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles one request. The response may be sent later and from another thread.
     *
     * @param exchange the request and the way to answer it
     */
    void handle(HttpExchange exchange);
}
