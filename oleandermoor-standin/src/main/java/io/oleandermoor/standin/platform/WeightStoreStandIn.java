package io.oleandermoor.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The weight store: reads of models take the reciprocal of the store's rate times the number of reads at full speed,
 * and longer when more are in flight; reads of adapters take a few milliseconds, and longer beyond their own limit.
 */
public final class WeightStoreStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 1024;

    private static final double ADAPTER_MILLIS = 5;

    private static final double MILLIS_PER_SECOND = 1000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Limits limits;

    private final HttpServer server;

    private final ScheduledExecutorService reads = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "weight-reads");
        thread.setDaemon(true);
        return thread;
    });

    private int modelsInFlight;

    private int adaptersInFlight;

    private int mostModelsInFlight;

    private int modelReads;

    /**
     * Starts the stand-in.
     *
     * @param address the address to listen on as {@code ip:port}
     * @param limits the limits
     * @throws IOException if the address cannot be bound
     */
    public WeightStoreStandIn(String address, Limits limits) throws IOException {
        this.limits = limits;
        server = JoobyHttpServer.start(Address.parse(address).toSocketAddress(), MAXIMUM_BODY_BYTES, this::handle);
    }

    @Override
    public void close() {
        reads.shutdownNow();
        server.close();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().startsWith("/v1/models/")) {
            read(exchange, true);
        } else if (exchange.path().startsWith("/v1/adapters/")) {
            read(exchange, false);
        } else if (exchange.path().equals("/stand-in/status")) {
            exchange.respond(status());
        } else {
            exchange.respond(HttpResponse.text(404, "not found\n"));
        }
    }

    private synchronized HttpResponse status() {
        try {
            return HttpResponse.json(
                    200,
                    MAPPER.writeValueAsString(Map.of(
                            "modelsInFlight", modelsInFlight,
                            "mostModelsInFlight", mostModelsInFlight,
                            "modelReads", modelReads)));
        } catch (IOException exception) {
            return HttpResponse.text(500, "no status\n");
        }
    }

    private synchronized void read(HttpExchange exchange, boolean model) {
        double millis;
        if (model) {
            modelsInFlight++;
            modelReads++;
            mostModelsInFlight = Math.max(mostModelsInFlight, modelsInFlight);
            double overload = Math.max(1, (double) modelsInFlight / limits.modelsAtOnce());
            millis = MILLIS_PER_SECOND * limits.modelsAtOnce() / limits.modelsPerSecond() * overload;
        } else {
            adaptersInFlight++;
            millis = ADAPTER_MILLIS * Math.max(1, (double) adaptersInFlight / limits.adaptersInFlight());
        }
        var unused = reads.schedule(() -> finish(exchange, model), (long) millis, TimeUnit.MILLISECONDS);
    }

    private void finish(HttpExchange exchange, boolean model) {
        synchronized (this) {
            if (model) {
                modelsInFlight--;
            } else {
                adaptersInFlight--;
            }
        }
        exchange.respond(HttpResponse.text(200, "weights\n"));
    }

    /**
     * Limits of the store.
     *
     * @param modelsPerSecond models read per second at full speed
     * @param modelsAtOnce models read at once at full speed
     * @param adaptersInFlight adapters in flight at full speed
     */
    public record Limits(double modelsPerSecond, int modelsAtOnce, int adaptersInFlight) {}
}
