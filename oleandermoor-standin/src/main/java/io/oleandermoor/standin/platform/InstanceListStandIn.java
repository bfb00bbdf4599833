package io.oleandermoor.standin.platform;

import io.oleandermoor.transport.address.Addresses;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import java.io.IOException;

/** The platform's instance list with fixed content. */
public final class InstanceListStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

    private final HttpServer server;

    /**
     * Starts the stand-in.
     *
     * @param address the address to listen on as {@code ip:port}
     * @param json the list as JSON
     * @throws IOException if the address cannot be bound
     */
    public InstanceListStandIn(String address, String json) throws IOException {
        server = JoobyHttpServer.start(
                Addresses.parse(address),
                MAXIMUM_BODY_BYTES,
                exchange -> exchange.respond(HttpResponse.json(200, json)));
    }

    @Override
    public void close() {
        server.close();
    }
}
