package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: a store, replicas and entries, and the configuration that the operator writes. */
public final class Deployment implements AutoCloseable {

    /** Exit codes of a case. */
    public static final int HELD = 0;

    public static final int BROKEN = 1;
    public static final int NOT_RUN = 2;

    /** Thrown if the case cannot run as described. */
    public static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        public CannotRun(String reason) {
            super(reason);
        }
    }

    /** The body of a case. */
    public interface Body {
        int run(Deployment deployment) throws Exception;
    }

    public final Record record;
    public final Path directory;
    public final Store store;
    public final List<Entry> entries = new ArrayList<>();
    public final List<Server> servers = new ArrayList<>();
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root;

    private Deployment(Path root, Path folder) throws IOException {
        this.root = root;
        record = new Record(folder.resolve("record.txt"));
        directory = Files.createTempDirectory("oleandermoor-review");
        store = new Store(record);
        store.start();
        servers.add(store);
    }

    /** Runs a case and exits. The arguments are the repository's root and the folder of the case. */
    public static void main(String[] arguments, Body body) {
        int code = NOT_RUN;
        try {
            Deployment deployment = new Deployment(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]));
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            Http.daemon(() -> {
                Http.sleep(110_000);
                System.out.println("the case took too long");
                Runtime.getRuntime().exit(NOT_RUN);
            });
            try {
                code = body.run(deployment);
            } catch (CannotRun exception) {
                deployment.record.tell("cannot run: %s", exception.getMessage());
            }
            deployment.record.tell("exit code %d", code);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    public Entry addEntry(String name) throws IOException {
        return addEntry(name, store.address());
    }

    public Entry addEntry(String name, String storeAddress) throws IOException {
        Entry entry = new Entry(root, directory, name, storeAddress, record);
        entries.add(entry);
        return entry;
    }

    public <T extends Server> T addServer(T server) {
        server.start();
        servers.add(server);
        return server;
    }

    public void startEntries() throws IOException, CannotRun {
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady(30_000)) {
                throw new CannotRun("entry " + entry.name() + " did not become ready");
            }
        }
    }

    /** Returns a route of the configuration. */
    public static Map<String, Object> route(
            String name, String prefix, String kind, String service, int timeoutMillis, int attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", "shop.example");
        route.put("path-prefix", prefix);
        route.put("kind", kind);
        route.put("service", service);
        route.put("timeout-ms", timeoutMillis);
        route.put("target-latency-ms", 500);
        route.put("gap-target-ms", 150);
        route.put("priority", 1);
        route.put("max-attempts", attempts);
        route.put("allow-anonymous", false);
        route.put("sticky-sessions", false);
        route.put("resumable", kind.equals("streaming"));
        return route;
    }

    /** Returns the engine part of a service: models m0, m1 and so on, each with adapters a1, a2 and so on. */
    public static Map<String, Object> engine(int modelCount, int adapters, int adapterSlots, double loadSeconds) {
        return engine(modelCount, adapters, adapterSlots, loadSeconds, 200_000);
    }

    public static Map<String, Object> engine(
            int modelCount, int adapters, int adapterSlots, double loadSeconds, int weightsMegabytes) {
        List<Object> models = new ArrayList<>();
        for (int index = 0; index < modelCount; index++) {
            Map<String, Object> model = new LinkedHashMap<>();
            model.put("name", "m" + index);
            model.put("weights-mb", 42700);
            model.put("load-time-s", loadSeconds);
            model.put("adapters", adapters);
            model.put("adapter-mb", 66);
            models.add(model);
        }
        Map<String, Object> engine = new LinkedHashMap<>();
        engine.put("slots", 16);
        engine.put("kv-capacity", 90000);
        engine.put("weights-mb", weightsMegabytes);
        engine.put("adapter-slots", adapterSlots);
        engine.put("loads-per-s", 1.4);
        engine.put("models", models);
        return engine;
    }

    public static Map<String, Object> service(String name, Map<String, Object> engine) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", name);
        service.put("max-connections", 370);
        if (engine != null) {
            service.put("engine", engine);
        }
        return service;
    }

    /** Writes a version of the configuration, as the operator does. */
    public void configure(long version, List<Object> routes, List<Object> services, List<String> keys) {
        configure(version, routes, services, keys, 4_194_304);
    }

    /** Writes a version of the configuration with a limit on the bodies of requests. */
    public void configure(
            long version, List<Object> routes, List<Object> services, List<String> keys, long maximumBodyBytes) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max-header-bytes", 16384);
        limits.put("max-body-bytes", maximumBodyBytes);
        limits.put("header-timeout-ms", 6000);
        limits.put("idle-timeout-ms", 15000);
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", "tenant-1");
        tenant.put("api-keys", keys);
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("version", version);
        document.put("routes", routes);
        document.put("services", services);
        document.put("limits", limits);
        document.put("tenants", List.of(tenant));
        String text = Json.write(document);
        long revision = store.put("op/config", text);
        record.write("operator writes version %d, %d bytes, revision %d", version, text.length(), revision);
    }

    /** Ends all processes and servers. */
    @Override
    public void close() {
        entries.forEach(Entry::close);
        for (Server server : servers) {
            try {
                server.close();
            } catch (IOException exception) {
                // It is closed already.
            }
        }
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(directory);
        } catch (IOException exception) {
            // The temporary folder stays.
        }
    }
}
