package io.oleandermoor.gateway.standin;

import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.Gateway;
import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.transport.settings.SettingsReader;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Runs a complete entry with stand-ins for the store and the instances. */
public final class EntryFixture implements AutoCloseable {

    /** Path of a route whose responses are resumable streams. */
    public static final String STREAM_PATH = "/stream/x";

    /** Path of a route whose requests must not be executed more than once. */
    public static final String UNSAFE_PATH = "/once/x";

    /** Path of a route whose requests may be executed repeatedly. */
    public static final String SAFE_PATH = "/safe/x";

    /** Below the ports that the operating system assigns. */
    private static final int FIRST_PORT = 15_000;

    private static final int LAST_PORT = 32_000;
    private static final Duration DEFAULT_GRACE = Duration.ofSeconds(8);
    private static final long MAXIMUM_BODY_BYTES = 64 << 10;
    private static final int PORT_ATTEMPTS = 100;

    /** The models that instances of the service "words" hold. */
    public static final String MODELS = "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final StoreStandIn store;
    private final Gateway gateway;
    private final int callerPort;
    private final int readyPort;
    private int nextRequestId;

    /** Starts an entry and a store, without instances. */
    public EntryFixture() throws Exception {
        this(DEFAULT_GRACE);
    }

    /** Starts an entry with a time for its stop, and a store, without instances. */
    public EntryFixture(Duration grace) throws Exception {
        this("entry-1", new StoreStandIn(), grace);
        closeLater(store);
    }

    private EntryFixture(String name, StoreStandIn store, Duration grace) throws IOException, InvalidInputException {
        this.store = store;
        callerPort = freePort();
        readyPort = freePort();
        String settings = settings(name, store, grace, callerPort, readyPort);
        gateway = new Gateway(new SettingsReader(GatewaySettings.SCHEMA).read("test", settings, List.of()));
        gateway.start();
        gateway.listen();
    }

    /** Returns the settings of an entry with the given name, store, time for its stop and ports. */
    public static String settings(String name, StoreStandIn store, Duration grace, int callerPort, int readyPort)
            throws IOException {
        return "[process]\nname = " + name
                + "\nfailure-domain = a\nregion = home\nregions = [b:away]\n[listen]\ncaller = 127.0.0.1:" + callerPort
                + "\nready = 127.0.0.1:" + readyPort + "\npeer = 127.0.0.1:" + freePort() + "\n[store]\naddress = "
                + store.address() + "\n[limits]\nrevocation = 5000ms\ngrace = " + grace.toMillis()
                + "ms\n[retries]\nwindow = 10s\nratio = 0.2\nfixed = 50\n[orders]\nholder-gap = 3000ms\n";
    }

    /** Starts another entry with the same store, without a configuration or instances of its own. */
    public EntryFixture startPeer(String name) throws Exception {
        EntryFixture peer = new EntryFixture(name, store, DEFAULT_GRACE);
        await().atMost(Duration.ofSeconds(20)).until(peer::isReady);
        return peer;
    }

    @Override
    public void close() throws Exception {
        gateway.stop();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
    }

    private <T extends AutoCloseable> T closeLater(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    /**
     * Returns a port that is free for TCP and UDP. The operating system assigns no port of the range to connections, so
     * that none is taken before the entry binds it.
     */
    public static int freePort() throws IOException {
        IOException last = new IOException("no port was tried");
        for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return Math.min(tcp.getLocalPort(), udp.getLocalPort());
            } catch (BindException exception) {
                last = exception;
            }
        }
        throw last;
    }

    /** Starts an instance in the failure domain of the entry and registers it in the store. */
    public InstanceStandIn startInstance(String id, String service, Behaviour behaviour) throws IOException {
        return startInstance(id, service, behaviour, "a");
    }

    /** Starts an instance in a failure domain and registers it in the store. */
    public InstanceStandIn startInstance(String id, String service, Behaviour behaviour, String failureDomain)
            throws IOException {
        InstanceStandIn instance = closeLater(new InstanceStandIn(id, behaviour));
        String registration = instance.registration(service, "ready", service.equals("words") ? MODELS : "[]");
        store.put("servers/" + id, registration.replace("\"zone\":\"a\"", "\"zone\":\"" + failureDomain + "\""));
        return instance;
    }

    private static String route(String name, String kind, String service, int timeoutMillis, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"127.0.0.1\",\"path-prefix\":\"/" + name + "/\",\"kind\":\""
                + kind + "\",\"timeout-ms\":" + timeoutMillis + ",\"target-latency-ms\":500,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max-attempts\":2,\"resumable\":" + resumable
                + ",\"gap-target-ms\":150}";
    }

    /** Writes a configuration to the store. */
    public void configure(int version, String keys) {
        configure(version, keys, MAXIMUM_BODY_BYTES);
    }

    /** Writes a configuration with a limit on the size of bodies to the store. */
    public void configure(int version, String keys, long maximumBodyBytes) {
        store.put("op/config", configuration(version, keys, maximumBodyBytes));
    }

    /** Returns a configuration with the routes of all kinds. */
    public static String configuration(int version, String keys, long maximumBodyBytes) {
        return "{\"version\":" + version + ",\"routes\":[" + route("stream", "streaming", "words", 5_000, true) + ","
                + route("once", "unsafe", "shop", 900, false) + ","
                + route("safe", "safe", "shop", 5_000, false)
                + "],\"services\":[{\"name\":\"words\",\"engine\":{\"slots\":8,\"kv-capacity\":1000,"
                + "\"models\":[{\"name\":\"m\",\"weights-mb\":1,\"load-time-s\":1}]}},{\"name\":\"shop\"}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":" + maximumBodyBytes + ","
                + "\"header-timeout-ms\":6000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"team-1\","
                + "\"api-keys\":[" + keys + "]}]}";
    }

    /** Writes the default configuration and waits until the entry is ready. */
    public void awaitReady() {
        configure(2, "\"key-1\"");
        awaitStarted();
    }

    /** Waits until the entry is ready with the configuration in the store. */
    public void awaitStarted() {
        await().atMost(Duration.ofSeconds(20)).until(() -> isReady());
    }

    /** Returns whether the readiness check for the load balancer succeeds. */
    public boolean isReady() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + readyPort + "/api/ready"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    }

    /** Sends a request to the entry and returns the response. */
    public HttpResponse<String> call(String path, String key) throws Exception {
        return call(path, key, "", "question");
    }

    /**
     * Sends a request to the entry and returns the response.
     *
     * @param path the path
     * @param key the API key
     * @param promptParts the parts of the prompt, as ID:TOKENS separated by commas
     * @param body the body
     */
    public HttpResponse<String> call(String path, String key, String promptParts, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + path))
                .header("Request-Id", "id-" + callerPort + "-" + nextRequestId++)
                .header("Authorization", "Token " + key)
                .header("Tenant", "forged")
                .header("Model", path.equals(STREAM_PATH) ? "m" : "none")
                .header("Deadline-Ms", "4000")
                .header("Prompt-Prefix", promptParts)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the port on which the entry accepts requests of callers. */
    public int callerPort() {
        return callerPort;
    }

    /** Returns the port on which the entry answers readiness checks. */
    public int readyPort() {
        return readyPort;
    }

    /** Returns the stand-in for the store. */
    public StoreStandIn store() {
        return store;
    }

    /** Returns the entry under test. */
    public Gateway gateway() {
        return gateway;
    }

    /** Returns the HTTP client that sends requests of callers. */
    public HttpClient client() {
        return client;
    }
}
