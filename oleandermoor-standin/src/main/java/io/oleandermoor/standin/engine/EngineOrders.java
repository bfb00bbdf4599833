package io.oleandermoor.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.client.EngineControl;
import io.oleandermoor.transport.client.HttpClients;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Executes orders to load and unload, with the losses and delays that the faults ask for. */
final class EngineOrders implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Duration WEIGHT_READ_TIMEOUT = Duration.ofSeconds(60);

    private static final String MODELS_PATH = "/v2/repository/models/";

    private static final long SEED = 11;

    private final EngineSettings settings;

    private final EngineMemory memory;

    private final Supplier<EngineFaults> faults;

    private final SplittableRandom random = new SplittableRandom(SEED);

    private final OkHttpClient client = HttpClients.create(WEIGHT_READ_TIMEOUT);

    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "engine-orders");
        thread.setDaemon(true);
        return thread;
    });

    EngineOrders(EngineSettings settings, EngineMemory memory, Supplier<EngineFaults> faults) {
        this.settings = settings;
        this.memory = memory;
        this.faults = faults;
    }

    void handle(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.body();
        JsonNode body = bytes.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(bytes);
        Order order = Order.of(exchange.path(), body);
        long fencingNumber = exchange.header(EngineControl.FENCING_HEADER)
                .map(Long::parseLong)
                .orElse(0L);
        EngineFaults current = faults.get();
        boolean lost = random.nextDouble() < current.loseOrders();
        boolean answerLost = random.nextDouble() < current.loseOrderAnswers();
        if (lost) {
            return;
        }
        executor.execute(() -> execute(exchange, order, fencingNumber, current.orderDelayMillis(), answerLost));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void execute(HttpExchange exchange, Order order, long fencingNumber, int delayMillis, boolean silent) {
        try {
            Thread.sleep(delayMillis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        }
        int status = memory.isFenced(fencingNumber) ? EngineControl.STATUS_FENCED : execute(order);
        if (!silent) {
            exchange.respond(HttpResponse.json(status, "{}"));
        }
    }

    private int execute(Order order) {
        if (!order.load) {
            memory.unload(order.name);
            return 200;
        }
        if (order.baseModel.isPresent() && !memory.isReady(order.baseModel.get())) {
            return 409;
        }
        if (!memory.startLoad(order.name, order.version, order.baseModel)) {
            return 200;
        }
        boolean loaded = readWeights(order);
        memory.finishLoad(order.name, order.version, loaded);
        return loaded ? 200 : 503;
    }

    private boolean readWeights(Order order) {
        if (settings.weightStoreAddress().isEmpty()) {
            return true;
        }
        String kind = order.baseModel.isPresent() ? "adapters" : "models";
        Request request = new Request.Builder()
                .url("http://" + settings.weightStoreAddress() + "/v1/" + kind + "/" + order.name)
                .build();
        try (Response response = client.newCall(request).execute()) {
            return response.code() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    private record Order(boolean load, String name, String version, Optional<String> baseModel) {

        static Order of(String path, JsonNode body) throws IOException {
            if (path.startsWith(MODELS_PATH)) {
                int end = path.lastIndexOf('/');
                return new Order(
                        path.endsWith("/load"),
                        path.substring(MODELS_PATH.length(), end),
                        body.path("parameters").path("version").asText("1"),
                        Optional.empty());
            }
            String name = body.path("lora_name").asText();
            if (name.isEmpty()) {
                throw new IOException("lora_name is missing");
            }
            String source = body.path("lora_path").asText("@1");
            return new Order(
                    path.endsWith("/load_lora_adapter"),
                    name,
                    source.substring(source.indexOf('@') + 1),
                    Optional.of(body.path("base_model_name").asText("")));
        }
    }
}
