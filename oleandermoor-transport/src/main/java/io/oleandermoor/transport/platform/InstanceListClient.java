package io.oleandermoor.transport.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Reads the platform's list of instances. */
public final class InstanceListClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OkHttpClient client;

    private final String url;

    /**
     * Creates the client.
     *
     * @param client the HTTP client
     * @param address the list's address as {@code ip:port}
     */
    public InstanceListClient(OkHttpClient client, String address) {
        this.client = client;
        this.url = "http://" + address + "/v1/instances";
    }

    /**
     * Reads the list. It lags behind what really runs.
     *
     * @return the instances
     * @throws IOException if the list cannot be read
     */
    public List<Instance> read() throws IOException {
        try (Response response =
                client.newCall(new Request.Builder().url(url).build()).execute()) {
            if (response.code() != 200) {
                throw new IOException("instance list answered status " + response.code());
            }
            return List.of(MAPPER.readValue(response.body().bytes(), Instance[].class));
        }
    }

    /**
     * One instance in the list.
     *
     * @param instance the identifier
     * @param role {@code entry} or {@code agent}
     * @param peerAddress the address for peer connections as {@code ip:port}
     * @param state {@code live} or {@code leaving}
     */
    public record Instance(String instance, String role, String peerAddress, String state) {}
}
