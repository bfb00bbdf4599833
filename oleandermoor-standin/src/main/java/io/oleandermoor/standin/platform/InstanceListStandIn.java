package io.oleandermoor.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.platform.InstanceListClient.Instance;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's instance list. {@code PUT /v1/instances} replaces it; readers see the change after a lag. */
public final class InstanceListStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final int lagMillis;

    private final HttpServer server;

    private final ScheduledExecutorService changes = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "instance-list");
        thread.setDaemon(true);
        return thread;
    });

    private volatile List<Instance> visible;

    /**
     * Starts the stand-in.
     *
     * @param address the address to listen on as {@code ip:port}
     * @param json the list as JSON
     * @param lagMillis how long a change stays invisible, in milliseconds
     * @throws IOException if the address cannot be bound or the list is not readable
     */
    public InstanceListStandIn(String address, String json, int lagMillis) throws IOException {
        this.lagMillis = lagMillis;
        this.visible = parse(json.getBytes(StandardCharsets.UTF_8));
        server = JoobyHttpServer.start(Address.parse(address).toSocketAddress(), MAXIMUM_BODY_BYTES, this::handle);
    }

    @Override
    public void close() {
        changes.shutdownNow();
        server.close();
    }

    private void handle(HttpExchange exchange) {
        try {
            if (exchange.method().equals("PUT")) {
                List<Instance> next = parse(exchange.body());
                var unused = changes.schedule(() -> visible = next, lagMillis, TimeUnit.MILLISECONDS);
                exchange.respond(HttpResponse.text(202, "accepted\n"));
            } else {
                exchange.respond(HttpResponse.json(200, MAPPER.writeValueAsString(visible)));
            }
        } catch (IOException exception) {
            exchange.respond(HttpResponse.text(400, "the list is not readable\n"));
        }
    }

    private static List<Instance> parse(byte[] json) throws IOException {
        return List.of(MAPPER.readValue(json, Instance[].class));
    }
}
