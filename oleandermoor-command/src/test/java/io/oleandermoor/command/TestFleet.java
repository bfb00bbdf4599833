package io.oleandermoor.command;

import static org.awaitility.Awaitility.await;

import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.oleandermoor.daemon.agent.AgentDaemon;
import io.oleandermoor.daemon.entry.EntryDaemon;
import io.oleandermoor.standin.engine.EngineFaults;
import io.oleandermoor.standin.engine.EngineSettings;
import io.oleandermoor.standin.engine.EngineStandIn;
import io.oleandermoor.standin.network.FaultyProxy;
import io.oleandermoor.standin.platform.InstanceListStandIn;
import io.oleandermoor.standin.platform.KeyValueServiceStandIn;
import io.oleandermoor.standin.service.ServiceStandIn;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.transport.settings.AgentSettings;
import io.oleandermoor.transport.settings.EntrySettings;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsReader;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Two entries, three agents with engines, one agent with a plain service, and the platform, in this process on
 * loopback. Entries reach each agent through a {@link FaultyProxy}.
 */
final class TestFleet implements AutoCloseable {

    static final String KEY = "key-of-team-one";
    static final String OTHER_KEY = "key-of-team-two";
    static final int ENTRIES = 2;
    static final int ENGINES = 3;
    static final int SERVICE = ENGINES;

    /** Time for anything that must happen within seconds; generous because the machine is shared. */
    static final Duration SECONDS = Duration.ofSeconds(20);

    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 32_000;
    private static final int PORT_ATTEMPTS = 100;
    private static final Set<Integer> RETURNED_PORTS = ConcurrentHashMap.newKeySet();

    private static final long RESTART_MILLIS = 1_500;

    private static final String CREDENTIAL = "credential-of-the-operator";

    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final KeyValueServiceStandIn store;
    final ServiceStandIn service;
    final List<EngineStandIn> engines = new CopyOnWriteArrayList<>();
    final List<FaultyProxy> proxies = new ArrayList<>();
    final List<AgentDaemon> agents = new ArrayList<>();
    final List<EntryDaemon> entries = new ArrayList<>();
    private final InstanceListStandIn instances;
    private final List<Integer> callerPorts = new ArrayList<>();
    private final List<Integer> entryAdminPorts = new ArrayList<>();
    private final List<Integer> agentAdminPorts = new ArrayList<>();
    private final List<Integer> enginePorts = new ArrayList<>();
    private final int tokenMillis;
    private volatile String crashText = "";
    private final String platform;
    private final String upstreamSettings;
    private final String entryLimits;

    TestFleet(int tokenMillis) throws Exception {
        this(tokenMillis, "", "");
    }

    /** Starts a fleet with further lines in the sections [upstream] of agents and [limits] of entries. */
    TestFleet(int tokenMillis, String upstreamSettings, String entryLimits) throws Exception {
        this.tokenMillis = tokenMillis;
        this.upstreamSettings = upstreamSettings;
        this.entryLimits = entryLimits;
        int storePort = freePort();
        int listPort = freePort();
        platform = "[platform]\nkey-value-service = 127.0.0.1:" + storePort + "\ninstance-list = 127.0.0.1:" + listPort
                + "\n[administration]\ncredential-hash = "
                + KeyHash.of(CREDENTIAL).value() + "\n";
        store = new KeyValueServiceStandIn(
                "127.0.0.1:" + storePort,
                new FaultyKeyValueStore(new InMemoryKeyValueStore(Schedulers.computation()), Schedulers.computation()));
        int servicePort = freePort();
        service = new ServiceStandIn("127.0.0.1:" + servicePort, () -> {});
        List<String> listed = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            enginePorts.add(freePort());
            engines.add(newEngine(index));
            listed.add(
                    startAgent(index, "kind = ENGINE\nmemory = 8000MB\naddress = 127.0.0.1:" + enginePorts.get(index)));
        }
        listed.add(startAgent(SERVICE, "kind = SERVICE\nservice = shop\naddress = 127.0.0.1:" + servicePort));
        List<Settings> entrySettings = new ArrayList<>();
        for (int index = 0; index < ENTRIES; index++) {
            int peer = freePort();
            listed.add(listing("entry-" + index, "entry", peer));
            entrySettings.add(entrySettings(index, peer));
        }
        instances = new InstanceListStandIn("127.0.0.1:" + listPort, "[" + String.join(",", listed) + "]", 0);
        for (Settings settings : entrySettings) {
            EntryDaemon entry = new EntryDaemon(settings);
            entry.start();
            entries.add(entry);
        }
        configure();
    }

    static String completion(String model, String prompt, int tokens, boolean stream) {
        return "{\"model\":\"" + model + "\",\"max_tokens\":" + tokens + ",\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    StreamCall stream(int entry, String key, String prompt, int tokens) {
        return StreamCall.start(client, caller(entry), key, prompt, tokens);
    }

    URI caller(int entry) {
        return URI.create("http://127.0.0.1:" + callerPorts.get(entry));
    }

    HttpRequest.Builder request(int entry, String path) {
        return HttpRequest.newBuilder(caller(entry).resolve(path)).header("Content-Type", "application/json");
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> complete(int entry, String key, String prompt, int tokens) throws Exception {
        return send(request(entry, "/v1/chat/completions")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString(completion("model-1", prompt, tokens, false)))
                .build());
    }

    /** Returns a booking, which needs an idempotency key. */
    HttpRequest booking(int entry, String idempotencyKey) {
        return request(entry, "/bookings")
                .header("Authorization", "Bearer " + KEY)
                .header("Idempotency-Key", idempotencyKey)
                .POST(HttpRequest.BodyPublishers.ofString("{\"press\":7}"))
                .build();
    }

    /** Returns the index of the agent that works on the only request in the fleet. */
    int busyAgent() {
        return await().atMost(SECONDS).until(this::findBusyAgent, index -> index >= 0);
    }

    long completions() {
        return engines.stream().mapToLong(EngineStandIn::completions).sum();
    }

    /** Sets the prompt that crashes each engine. A crashed engine starts again after a while, as a real one does. */
    void crashOn(String text) {
        crashText = text;
        engines.forEach(engine -> engine.setFaults(crashing(text)));
    }

    private void crash(int index) {
        var unused = CompletableFuture.runAsync(() -> engines.get(index).close())
                .thenRunAsync(
                        () -> restart(index), CompletableFuture.delayedExecutor(RESTART_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void restart(int index) {
        await().atMost(SECONDS).ignoreExceptions().until(() -> {
            EngineStandIn engine = newEngine(index);
            engine.setFaults(crashing(crashText));
            engines.set(index, engine);
            return true;
        });
    }

    ExitCode operator(String... arguments) {
        CommandContext context = new CommandContext(
                new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
                new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
                Map.of(
                        RemoteCommand.ADDRESS_VARIABLE,
                        "127.0.0.1:" + entryAdminPorts.get(1),
                        RemoteCommand.CREDENTIAL_VARIABLE,
                        CREDENTIAL),
                new SecureRandom(),
                new DaemonRegistry(List.of()),
                Duration.ofMillis(100));
        return new CommandLine(context).run(arguments);
    }

    int readiness(int entry) throws Exception {
        return send(HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + entryAdminPorts.get(entry) + "/health/ready"))
                        .build())
                .statusCode();
    }

    Settings entrySettings(int index, int peerPort) throws Exception {
        callerPorts.add(freePort());
        entryAdminPorts.add(freePort());
        String text = process("entry-" + index, entryAdminPorts.get(index), peerPort) + "caller = 127.0.0.1:"
                + callerPorts.get(index) + "\n[drain]\nload-balancer-wait = 1s\n[limits]\nbody = 64KB\n" + entryLimits
                + platform;
        return new SettingsReader(EntrySettings.SCHEMA).read("entry-" + index, text, List.of());
    }

    /**
     * Returns a port that is free and was not returned before. The operating system gives no port of the range to
     * outgoing connections, one of which could otherwise take it before a server is started on it.
     */
    static int freePort() throws IOException {
        IOException last = new IOException("no port was tried");
        for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!RETURNED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException exception) {
                last = exception;
            }
        }
        throw last;
    }

    @Override
    public void close() {
        entries.forEach(EntryDaemon::close);
        agents.forEach(AgentDaemon::close);
        proxies.forEach(FaultyProxy::close);
        engines.forEach(EngineStandIn::close);
        service.close();
        instances.close();
        store.close();
    }

    private EngineStandIn newEngine(int index) throws IOException {
        return new EngineStandIn(
                new EngineSettings(
                        "127.0.0.1:" + enginePorts.get(index),
                        List.of("model-1"),
                        8_000,
                        Map.of(),
                        new EngineSettings.Batch(32, tokenMillis, 512),
                        true,
                        ""),
                () -> crash(index));
    }

    private static EngineFaults crashing(String text) {
        return new EngineFaults(0, 0, 0, false, 1, text, 200, 200, 0);
    }

    private String startAgent(int index, String upstream) throws Exception {
        int peer = freePort();
        agentAdminPorts.add(freePort());
        String text = process("agent-" + index, agentAdminPorts.get(index), peer) + "[upstream]\nid = upstream-" + index
                + "\n" + upstream + "\n" + upstreamSettings + "\n" + platform;
        AgentDaemon agent = new AgentDaemon(new SettingsReader(AgentSettings.SCHEMA).read("agent", text, List.of()));
        agent.start();
        agents.add(agent);
        FaultyProxy proxy = new FaultyProxy(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), peer));
        proxies.add(proxy);
        return listing("agent-" + index, "agent", proxy.port());
    }

    private static String process(String name, int adminPort, int peerPort) {
        return "[process]\ninstance-id = " + name
                + "\nfailure-domain = d1\nregion = r1\nworkers = 2\n[listen]\nadmin = " + "127.0.0.1:" + adminPort
                + "\npeer = 127.0.0.1:" + peerPort + "\n";
    }

    private static String listing(String name, String role, int port) {
        return "{\"instance\":\"" + name + "\",\"role\":\"" + role + "\",\"peerAddress\":\"127.0.0.1:" + port
                + "\",\"state\":\"live\"}";
    }

    /** Puts an admission policy in force everywhere. */
    void admission(String policy) throws Exception {
        apply(",\"settings\":{\"admission\":{\"policy\":\"" + policy + "\"}}");
        double version = metric(entryAdminPorts.get(1), "oleandermoor_configuration_version");
        for (int port : agentAdminPorts) {
            await("agent has the configuration")
                    .atMost(SECONDS)
                    .until(() -> metric(port, "oleandermoor_configuration_version") >= version);
        }
    }

    /** Returns the version of the configuration in force at an entry. */
    long version(int entry) throws Exception {
        return (long) metric(entryAdminPorts.get(entry), "oleandermoor_configuration_version");
    }

    /** Returns the number of attempts that wait or run in all agents. */
    long attempts() throws Exception {
        long sum = 0;
        for (int port : agentAdminPorts) {
            sum += (long) metric(port, "oleandermoor_attempts");
        }
        return sum;
    }

    private double metric(int port, String name) throws Exception {
        String page = send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
                        .build())
                .body();
        return page.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private void configure() throws Exception {
        apply("");
        for (int entry = 0; entry < ENTRIES; entry++) {
            int index = entry;
            await("entry serves")
                    .atMost(SECONDS.multipliedBy(2))
                    .ignoreExceptions()
                    .until(() -> complete(index, KEY, "ready", 400).statusCode() == 200
                            && complete(index, OTHER_KEY, "ready", 2).statusCode() == 200
                            && send(booking(index, "ready-" + index)).statusCode() == 200);
        }
    }

    /** Applies the document of this fleet with further members. */
    private void apply(String members) throws Exception {
        String route = "\"service\":\"shop\",\"access\":\"TEAM\",\"repeatability\":\"AT_MOST_ONCE\"";
        String document = "{\"teams\":[" + team("one") + "," + team("two") + "],\"keys\":[" + key("one", KEY) + ","
                + key("two", OTHER_KEY) + "],\"models\":["
                + "{\"name\":\"model-1\",\"version\":\"1\",\"memoryMegabytes\":100,\"minimumCopies\":1}],"
                + "\"adapters\":[],\"routes\":[{\"name\":\"booking\",\"method\":\"POST\",\"path\":\"/bookings\","
                + route
                + ",\"idempotencyKeyRequired\":true},{\"name\":\"payment\",\"method\":\"POST\",\"path\":\"/payments\","
                + route + "}]" + members + "}";
        Path file = Files.createTempFile("document", ".json");
        try {
            Files.writeString(file, document);
            await("configuration is accepted")
                    .atMost(SECONDS)
                    .until(() -> operator("apply", file.toString()) == ExitCode.OK);
        } finally {
            Files.delete(file);
        }
    }

    private static String team(String name) {
        return "{\"name\":\"" + name + "\",\"rate\":1000000,\"burst\":4000000,\"weight\":1}";
    }

    private static String key(String team, String key) {
        return "{\"id\":\"key-" + team + "\",\"team\":\"" + team + "\",\"hash\":\""
                + KeyHash.of(key).value() + "\"}";
    }

    private int findBusyAgent() throws Exception {
        for (int index = 0; index < agentAdminPorts.size(); index++) {
            String page = send(HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + agentAdminPorts.get(index) + "/metrics"))
                            .build())
                    .body();
            if (page.lines().anyMatch(line -> line.startsWith("oleandermoor_attempts 1"))) {
                return index;
            }
        }
        return -1;
    }
}
