package io.oleandermoor.daemon.health;

import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpHandler;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Serves {@code /health/live}, {@code /health/ready} and {@code /metrics}; other paths go to the role's own handler.
 */
public final class AdministrationServer implements AutoCloseable {

    private final ProcessMetrics metrics;

    private final Supplier<Readiness> readiness;

    private final HttpHandler others;

    private final HttpServer server;

    /**
     * Starts the server.
     *
     * @param address the address to listen on
     * @param maximumBodyBytes the largest body
     * @param metrics the metrics of the process
     * @param readiness tells whether the process takes new work
     * @param others answers all other paths
     * @throws IOException if the address cannot be bound
     */
    public AdministrationServer(
            Address address,
            int maximumBodyBytes,
            ProcessMetrics metrics,
            Supplier<Readiness> readiness,
            HttpHandler others)
            throws IOException {
        this.metrics = metrics;
        this.readiness = readiness;
        this.others = others;
        this.server = JoobyHttpServer.start(address.toSocketAddress(), maximumBodyBytes, this::handle);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/health/live" -> exchange.respond(HttpResponse.text(200, "live\n"));
            case "/health/ready" -> {
                Readiness current = readiness.get();
                exchange.respond(HttpResponse.text(current.ready() ? 200 : 503, current.reason() + "\n"));
            }
            case "/metrics" -> exchange.respond(page());
            default -> others.handle(exchange);
        }
    }

    private HttpResponse page() {
        try {
            return new HttpResponse(
                    200, Map.of(HttpResponse.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8"), metrics.page());
        } catch (IOException exception) {
            return HttpResponse.text(500, "the metrics cannot be written\n");
        }
    }

    /**
     * Whether a process takes new work.
     *
     * @param ready true if it does
     * @param reason a word for people
     */
    public record Readiness(boolean ready, String reason) {

        /** The process takes new work. */
        public static final Readiness READY = new Readiness(true, "ready");
    }
}
