package io.oleandermoor.transport.http;

import java.util.Map;
import java.util.Optional;

/** One HTTP request and its response. The response methods may be called from any thread, once in all. */
public interface HttpExchange {

    /**
     * Returns the method.
     *
     * @return the method in capitals
     */
    String method();

    /**
     * Returns the path without the query.
     *
     * @return the path, starting with a slash
     */
    String path();

    /**
     * Returns the query parameters.
     *
     * @return the decoded parameters; of a repeated one the first
     */
    Map<String, String> query();

    /**
     * Returns a header.
     *
     * @param name the name, in any case
     * @return the value, or empty if the request has none
     */
    Optional<String> header(String name);

    /**
     * Returns all headers.
     *
     * @return the headers with names as received
     */
    Map<String, String> headers();

    /**
     * Returns the body.
     *
     * @return the bytes, empty if there is none
     */
    byte[] body();

    /**
     * Sends a complete response.
     *
     * @param response the response
     */
    void respond(HttpResponse response);

    /**
     * Starts a response of server-sent events.
     *
     * @param headers further headers of the response
     * @param onCallerGone called at most once when the caller has closed the connection
     * @return the stream
     */
    EventStream startEventStream(Map<String, String> headers, Runnable onCallerGone);
}
