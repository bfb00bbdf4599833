package io.oleandermoor.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.address.Addresses;
import io.oleandermoor.transport.http.EventStream;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A model engine without a model: answers chat completions with tokens computed from the prompt, in steps over a batch,
 * and lists its models in the format of the model repository extension of the open inference protocol.
 */
public final class EngineStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineSettings settings;

    private final HttpServer server;

    private final Set<String> ready = new TreeSet<>();

    private final Queue<Sequence> waiting = new ArrayDeque<>();

    private final List<Sequence> running = new ArrayList<>();

    private final ScheduledExecutorService steps = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "engine-steps");
        thread.setDaemon(true);
        return thread;
    });

    private final ScheduledFuture<?> ticker;

    /**
     * Starts the stand-in.
     *
     * @param settings the settings
     * @throws IOException if the address cannot be bound
     */
    public EngineStandIn(EngineSettings settings) throws IOException {
        this.settings = settings;
        ready.addAll(settings.models());
        server = JoobyHttpServer.start(Addresses.parse(settings.address()), MAXIMUM_BODY_BYTES, this::handle);
        ticker = steps.scheduleAtFixedRate(
                this::step, settings.stepMillis(), settings.stepMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        ticker.cancel(false);
        steps.shutdownNow();
        server.close();
    }

    private void handle(HttpExchange exchange) {
        try {
            switch (exchange.path()) {
                case "/v1/chat/completions" -> complete(exchange);
                case "/v2/repository/index" -> index(exchange);
                default -> exchange.respond(HttpResponse.text(404, "not found\n"));
            }
        } catch (IOException exception) {
            exchange.respond(HttpResponse.text(400, "bad request\n"));
        }
    }

    private synchronized void index(HttpExchange exchange) throws IOException {
        List<Map<String, String>> models = new ArrayList<>();
        for (String model : ready) {
            models.add(Map.of("name", model, "state", "READY"));
        }
        exchange.respond(HttpResponse.json(200, MAPPER.writeValueAsString(models)));
    }

    private void complete(HttpExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.body());
        StringBuilder prompt = new StringBuilder();
        int promptTokens = 0;
        int resumed = 0;
        JsonNode messages = body.path("messages");
        for (int index = 0; index < messages.size(); index++) {
            String content = messages.get(index).path("content").asText();
            boolean continued = index == messages.size() - 1
                    && body.path("continue_final_message").asBoolean();
            if (continued) {
                resumed = content.isBlank() ? 0 : content.trim().split(" ").length;
            } else {
                prompt.append(content).append('\n');
                promptTokens += content.trim().split("\\s+").length;
            }
        }
        synchronized (this) {
            if (!ready.contains(body.path("model").asText())) {
                exchange.respond(HttpResponse.json(404, "{\"error\":{\"message\":\"model is not loaded\"}}"));
                return;
            }
            SequenceHolder holder = new SequenceHolder();
            EventStream stream = exchange.startEventStream(Map.of(), holder::cancel);
            Sequence sequence = new Sequence(
                    stream,
                    prompt.toString().hashCode(),
                    promptTokens,
                    resumed,
                    body.path("max_tokens").asInt(16));
            holder.sequence = sequence;
            waiting.add(sequence);
        }
    }

    private synchronized void step() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            running.add(waiting.remove());
        }
        running.removeIf(Sequence::step);
    }

    private static final class SequenceHolder {

        private volatile @org.jspecify.annotations.Nullable Sequence sequence;

        void cancel() {
            Sequence known = sequence;
            if (known != null) {
                known.cancel();
            }
        }
    }
}
