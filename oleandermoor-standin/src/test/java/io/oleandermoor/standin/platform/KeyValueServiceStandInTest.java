package io.oleandermoor.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against failure switches that do not do what the failure tests of the daemons rely on. */
class KeyValueServiceStandInTest {

    private final HttpClient client = HttpClient.newHttpClient();
    private KeyValueServiceStandIn service;
    private String address;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        service = new KeyValueServiceStandIn(
                address,
                new FaultyKeyValueStore(new InMemoryKeyValueStore(Schedulers.computation()), Schedulers.computation()));
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void lostAnswerIsOneOfAWriteUnderThePrefixThatTookEffect() throws Exception {
        assertThat(post("/stand-in/faults", "{\"loseAnswers\":1,\"loseUnder\":\"once/\"}")
                        .statusCode())
                .isEqualTo(200);
        assertThat(put("owner/a").statusCode()).isEqualTo(200);
        assertThat(put("once/a").statusCode()).isEqualTo(503);
        assertThat(range("once/a").body()).contains("\"kvs\":[{");
        assertThat(put("once/b").statusCode()).isEqualTo(200);
    }

    @Test
    void outageRefusesReadsAndWritesUntilItEnds() throws Exception {
        post("/stand-in/faults", "{\"down\":true}");
        assertThat(put("a").statusCode()).isEqualTo(503);
        assertThat(range("a").statusCode()).isEqualTo(503);
        post("/stand-in/faults", "{}");
        assertThat(range("a").body()).contains("\"kvs\":[]");
    }

    @Test
    void lapseEndsLeasesOnce() throws Exception {
        String lease = "{\"TTL\":\"60\"}";
        post("/v3/lease/grant", lease);
        assertThat(post("/v3/lease/keepalive", "{\"ID\":\"1\"}").body()).contains("\"TTL\":\"1\"");
        post("/stand-in/faults", "{\"lapseLeases\":true}");
        assertThat(post("/v3/lease/keepalive", "{\"ID\":\"1\"}").body()).contains("\"TTL\":\"0\"");
    }

    @Test
    void unknownOrNegativeFaultIsRefused() throws Exception {
        assertThat(post("/stand-in/faults", "{\"answerDelayMillis\":-1}").statusCode())
                .isEqualTo(400);
        assertThat(post("/stand-in/faults", "{\"dwn\":true}").statusCode()).isEqualTo(400);
    }

    private HttpResponse<String> put(String key) throws Exception {
        return post(
                "/v3/kv/txn",
                "{\"compare\":[{\"key\":\"" + encode(key) + "\",\"mod_revision\":\"0\"}],\"success\":[{\"request_put\":"
                        + "{\"key\":\"" + encode(key) + "\",\"value\":\"" + encode("v") + "\"}}]}");
    }

    private HttpResponse<String> range(String key) throws Exception {
        return post("/v3/kv/range", "{\"key\":\"" + encode(key) + "\"}");
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
