package io.oleandermoor.transport.http;

/** A running HTTP server. */
public interface HttpServer extends AutoCloseable {

    /**
     * Returns the port on which the server accepts connections.
     *
     * @return the port
     */
    int port();

    /** Stops accepting connections and closes the open ones. */
    @Override
    void close();
}
