package io.oleandermoor.transport.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.transport.json.ExactJson;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Orders to one engine: models by the model repository extension of the open inference protocol, adapters by the calls
 * that engines with dynamic adapters offer. Calls block until the engine has answered. Safe for use by several threads.
 */
public final class EngineControl {

    /** Header with the fencing number of the agent's ownership. Engines that do not know it ignore it. */
    public static final String FENCING_HEADER = "X-Fencing-Number";

    /** Status with which an engine refuses an order with an old fencing number. */
    public static final int STATUS_FENCED = 412;

    private static final MediaType JSON = MediaType.get("application/json");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int OK = 200;

    /**
     * Longest time for a listing. A paused engine accepts connections and answers nothing, so waiting as long as for an
     * order would keep its models announced as ready for all that time.
     */
    private static final Duration LISTING_TIMEOUT = Duration.ofSeconds(3);

    private final OkHttpClient client;

    private final OkHttpClient listingClient;

    private final String base;

    /**
     * Creates the control of one engine.
     *
     * @param client the HTTP client
     * @param address the engine's address as {@code ip:port}
     * @param orderTimeout longest time that an order may take
     */
    public EngineControl(OkHttpClient client, String address, Duration orderTimeout) {
        this.client = client.newBuilder().readTimeout(orderTimeout).build();
        this.listingClient = client.newBuilder().callTimeout(LISTING_TIMEOUT).build();
        this.base = "http://" + address;
    }

    /**
     * Lists what the engine has in memory.
     *
     * @param fencingNumber the fencing number of the agent
     * @return models and adapters with their state
     * @throws IOException if the engine does not answer
     */
    public List<Resident> list(long fencingNumber) throws IOException {
        JsonNode response = post(listingClient, "/v2/repository/index", MAPPER.createObjectNode(), fencingNumber);
        List<Resident> residents = new ArrayList<>();
        for (JsonNode node : response) {
            residents.add(new Resident(
                    node.path("name").asText(),
                    node.path("version").asText(),
                    node.path("state").asText(),
                    node.path("adapter").asBoolean(false),
                    ExactJson.wholeNumber(node.path("megabytes")).orElse(0)));
        }
        return residents;
    }

    /**
     * Loads a model. Returns when the model is ready.
     *
     * @param model the model
     * @param version the version of the weights
     * @param fencingNumber the fencing number of the agent's ownership
     * @throws IOException if the engine refused the order or did not answer; the order may still take effect
     */
    public void loadModel(String model, String version, long fencingNumber) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.putObject("parameters").put("version", version);
        post("/v2/repository/models/" + model + "/load", body, fencingNumber);
    }

    /**
     * Unloads a model. Returns when its memory is free.
     *
     * @param model the model
     * @param fencingNumber the fencing number of the agent's ownership
     * @throws IOException if the engine refused the order or did not answer; the order may still take effect
     */
    public void unloadModel(String model, long fencingNumber) throws IOException {
        post("/v2/repository/models/" + model + "/unload", MAPPER.createObjectNode(), fencingNumber);
    }

    /**
     * Loads an adapter. Returns when the adapter is ready.
     *
     * @param adapter the adapter
     * @param model its base model
     * @param version the version of the weights
     * @param fencingNumber the fencing number of the agent's ownership
     * @throws IOException if the engine refused the order or did not answer; the order may still take effect
     */
    public void loadAdapter(String adapter, String model, String version, long fencingNumber) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("lora_name", adapter).put("lora_path", adapter + "@" + version).put("base_model_name", model);
        post("/v1/load_lora_adapter", body, fencingNumber);
    }

    /**
     * Unloads an adapter. Returns when its memory is free.
     *
     * @param adapter the adapter
     * @param fencingNumber the fencing number of the agent's ownership
     * @throws IOException if the engine refused the order or did not answer; the order may still take effect
     */
    public void unloadAdapter(String adapter, long fencingNumber) throws IOException {
        post("/v1/unload_lora_adapter", MAPPER.createObjectNode().put("lora_name", adapter), fencingNumber);
    }

    private JsonNode post(String path, ObjectNode body, long fencingNumber) throws IOException {
        return post(client, path, body, fencingNumber);
    }

    private JsonNode post(OkHttpClient caller, String path, ObjectNode body, long fencingNumber) throws IOException {
        Request request = new Request.Builder()
                .url(base + path)
                .header(FENCING_HEADER, Long.toString(fencingNumber))
                .post(RequestBody.create(body.toString(), JSON))
                .build();
        try (Response response = caller.newCall(request).execute()) {
            if (response.code() != OK) {
                throw new EngineRefusedException(path, response.code());
            }
            return MAPPER.readTree(response.body().bytes());
        }
    }

    /**
     * Something that an engine has in memory.
     *
     * @param name the model or adapter
     * @param version the version of the weights
     * @param state {@code READY}, {@code LOADING} or {@code UNLOADING}
     * @param adapter true for an adapter
     * @param megabytes memory that it takes, 0 if the engine does not say
     */
    public record Resident(String name, String version, String state, boolean adapter, long megabytes) {

        /**
         * Returns whether requests can use it.
         *
         * @return true if it is ready
         */
        public boolean isReady() {
            return state.equals("READY");
        }
    }
}
