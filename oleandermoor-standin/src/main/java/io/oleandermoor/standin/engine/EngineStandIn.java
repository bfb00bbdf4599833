package io.oleandermoor.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.client.EngineControl;
import io.oleandermoor.transport.http.EventStream;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A model engine without a model: answers chat completions with tokens computed from the prompt in steps over a batch,
 * takes orders to load and unload, caches prompt prefixes and shows failures on request.
 *
 * <p>{@code POST /stand-in/faults} sets an {@link EngineFaults}; {@code GET /stand-in/status} reports what an invariant
 * check needs.
 */
public final class EngineStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    /** Bounds the memory of a stand-in under load. */
    private static final int MAXIMUM_SEEN_BODIES = 1_000;

    private static final int DEFAULT_MAXIMUM_TOKENS = 16;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineMemory memory;

    private final EngineOrders orders;

    private volatile EngineFaults faults = EngineFaults.NONE;

    private final Batch batch;

    private final CacheEvents cacheEvents;

    private final HttpServer server;

    private final AtomicLong completions = new AtomicLong();

    private final CopyOnWriteArrayList<String> seenBodies = new CopyOnWriteArrayList<>();

    private final CopyOnWriteArrayList<String> seenHeaders = new CopyOnWriteArrayList<>();

    /**
     * Starts the stand-in.
     *
     * @param settings the settings
     * @param onCrash called when a prompt is to crash the engine; ends the process
     * @throws IOException if the address cannot be bound
     */
    public EngineStandIn(EngineSettings settings, Runnable onCrash) throws IOException {
        memory = new EngineMemory(settings);
        orders = new EngineOrders(settings, memory, () -> faults);
        cacheEvents = new CacheEvents(() -> faults);
        batch = new Batch(settings.batch(), () -> faults, cacheEvents::stored, onCrash);
        server = JoobyHttpServer.start(
                Address.parse(settings.address()).toSocketAddress(), MAXIMUM_BODY_BYTES, this::handle);
        batch.start();
    }

    @Override
    public void close() {
        batch.close();
        orders.close();
        cacheEvents.close();
        server.close();
    }

    /**
     * Returns the number of completions that were started, resumed ones included.
     *
     * @return the number
     */
    public long completions() {
        return completions.get();
    }

    /**
     * Returns the different headers that completions came with.
     *
     * @return a copy, each header as {@code name: value}
     */
    public List<String> seenHeaders() {
        return List.copyOf(seenHeaders);
    }

    /**
     * Returns the bodies of the first completions.
     *
     * @return a copy of at most 1,000 bodies
     */
    public List<String> seenBodies() {
        return List.copyOf(seenBodies);
    }

    /**
     * Sets the failures from now on.
     *
     * @param next the failures
     */
    public void setFaults(EngineFaults next) {
        faults = next;
    }

    private void handle(HttpExchange exchange) {
        try {
            route(exchange);
        } catch (IOException exception) {
            exchange.respond(HttpResponse.text(400, "bad request\n"));
        }
    }

    private void route(HttpExchange exchange) throws IOException {
        String path = exchange.path();
        if (path.equals("/v1/chat/completions")) {
            complete(exchange);
        } else if (path.equals("/v2/repository/index")) {
            exchange.respond(HttpResponse.json(200, MAPPER.writeValueAsString(memory.list())));
        } else if (path.startsWith("/v2/repository/models/") || path.endsWith("_lora_adapter")) {
            orders.handle(exchange);
        } else if (path.equals("/v1/cache-events")) {
            cacheEvents.subscribe(exchange);
        } else if (path.equals("/metrics")) {
            exchange.respond(HttpResponse.text(200, metrics()));
        } else if (path.equals("/stand-in/faults")) {
            faults = MAPPER.readValue(exchange.body(), EngineFaults.class);
            exchange.respond(HttpResponse.text(200, "ok\n"));
        } else if (path.equals("/stand-in/status")) {
            exchange.respond(HttpResponse.json(200, MAPPER.writeValueAsString(status())));
        } else {
            exchange.respond(HttpResponse.text(404, "not found\n"));
        }
    }

    private void complete(HttpExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.body());
        if (seenBodies.size() < MAXIMUM_SEEN_BODIES) {
            seenBodies.add(new String(exchange.body(), StandardCharsets.UTF_8));
        }
        exchange.headers().forEach((name, value) -> remember(name + ": " + value));
        Prompt prompt = Prompt.of(body);
        if (!memory.isReady(prompt.model())) {
            exchange.respond(HttpResponse.json(404, "{\"error\":{\"message\":\"model is not loaded\"}}"));
            return;
        }
        completions.incrementAndGet();
        CancelOnce cancel = new CancelOnce();
        EventStream stream = exchange.startEventStream(Map.of(), cancel::run);
        Sequence sequence = new Sequence(
                stream,
                prompt,
                body.path("priority").asInt(0),
                body.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS));
        cancel.set(sequence);
        batch.add(sequence);
    }

    private void remember(String header) {
        if (!seenHeaders.contains(header)) {
            seenHeaders.add(header);
        }
    }

    private String metrics() {
        return "vllm:num_requests_running " + batch.reportedRunning() + "\nvllm:num_requests_waiting "
                + batch.reportedWaiting() + "\n";
    }

    private Map<String, Object> status() {
        return Map.of(
                "usedMegabytes", memory.usedMegabytes(),
                "overcommits", memory.overcommits(),
                "residents", memory.list(),
                "seenHeaders", seenHeaders,
                "completions", completions.get(),
                "fencingHeader", EngineControl.FENCING_HEADER);
    }

    /** Cancels a sequence that is created after the stream on which the caller may leave. */
    private static final class CancelOnce {

        private @Nullable Sequence sequence;

        private boolean cancelled;

        synchronized void set(Sequence created) {
            sequence = created;
            if (cancelled) {
                created.cancel();
            }
        }

        synchronized void run() {
            cancelled = true;
            if (sequence != null) {
                sequence.cancel();
            }
        }
    }
}
