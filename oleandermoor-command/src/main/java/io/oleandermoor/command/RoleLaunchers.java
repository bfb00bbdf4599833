package io.oleandermoor.command;

import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.oleandermoor.daemon.agent.AgentDaemon;
import io.oleandermoor.daemon.entry.EntryDaemon;
import io.oleandermoor.standin.engine.EngineSettings;
import io.oleandermoor.standin.engine.EngineStandIn;
import io.oleandermoor.standin.platform.InstanceListStandIn;
import io.oleandermoor.standin.platform.KeyValueServiceStandIn;
import io.oleandermoor.standin.platform.WeightStoreStandIn;
import io.oleandermoor.standin.service.ServiceStandIn;
import io.oleandermoor.transport.settings.Address;
import io.oleandermoor.transport.settings.AgentSettings;
import io.oleandermoor.transport.settings.EntrySettings;
import io.oleandermoor.transport.settings.FencingSupport;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsSchema;
import io.oleandermoor.transport.settings.StandinSettings;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/** The launchers of the daemons and of the stand-ins. */
final class RoleLaunchers {

    /** Exit status of a stand-in whose process ends because a request was to crash it. */
    private static final int CRASH_STATUS = 70;

    private static final double THOUSAND_SECONDS = 1_000;

    private RoleLaunchers() {}

    static List<DaemonLauncher> all() {
        return List.of(
                new Launcher(EntrySettings.SCHEMA, RoleLaunchers::entry),
                new Launcher(AgentSettings.SCHEMA, RoleLaunchers::agent),
                new Launcher(StandinSettings.ENGINE, RoleLaunchers::engine),
                new Launcher(StandinSettings.SERVICE, RoleLaunchers::service),
                new Launcher(StandinSettings.WEIGHT_STORE, RoleLaunchers::weightStore),
                new Launcher(StandinSettings.KEY_VALUE_SERVICE, RoleLaunchers::keyValueService),
                new Launcher(StandinSettings.INSTANCE_LIST, RoleLaunchers::instanceList));
    }

    private static Runnable entry(Settings settings) throws IOException {
        EntryDaemon entry = new EntryDaemon(settings);
        entry.start();
        return entry::stop;
    }

    private static Runnable agent(Settings settings) throws IOException {
        AgentDaemon agent = new AgentDaemon(settings);
        agent.start();
        return agent::stop;
    }

    private static Runnable engine(Settings settings) throws IOException {
        EngineStandIn engine = new EngineStandIn(
                new EngineSettings(
                        listenAddress(settings),
                        words(settings.get(StandinSettings.ENGINE_MODELS)),
                        settings.get(StandinSettings.ENGINE_MEMORY) >> 20,
                        sizes(settings.get(StandinSettings.ENGINE_SIZES)),
                        new EngineSettings.Batch(
                                settings.get(StandinSettings.ENGINE_SLOTS),
                                (int) settings.get(StandinSettings.ENGINE_TOKEN_INTERVAL)
                                        .toMillis(),
                                settings.get(StandinSettings.ENGINE_PREFILL)),
                        settings.get(StandinSettings.ENGINE_FENCING) == FencingSupport.ENFORCED,
                        settings.find(StandinSettings.ENGINE_WEIGHT_STORE)
                                .map(Address::toString)
                                .orElse("")),
                RoleLaunchers::crash);
        return engine::close;
    }

    private static Runnable service(Settings settings) throws IOException {
        ServiceStandIn service = new ServiceStandIn(listenAddress(settings), RoleLaunchers::crash);
        return service::close;
    }

    private static Runnable weightStore(Settings settings) throws IOException {
        WeightStoreStandIn store = new WeightStoreStandIn(
                listenAddress(settings),
                new WeightStoreStandIn.Limits(
                        settings.get(StandinSettings.LOADS_PER_THOUSAND_SECONDS) / THOUSAND_SECONDS,
                        settings.get(StandinSettings.CONCURRENT_LOADS),
                        settings.get(StandinSettings.ADAPTER_LOADS)));
        return store::close;
    }

    private static Runnable keyValueService(Settings settings) throws IOException {
        KeyValueServiceStandIn service = new KeyValueServiceStandIn(
                listenAddress(settings),
                new FaultyKeyValueStore(new InMemoryKeyValueStore(Schedulers.computation()), Schedulers.computation()));
        return service::close;
    }

    private static Runnable instanceList(Settings settings) throws IOException {
        Optional<String> file = settings.find(StandinSettings.LIST_FILE);
        InstanceListStandIn list = new InstanceListStandIn(
                listenAddress(settings), file.isPresent() ? Files.readString(Path.of(file.get())) : "[]", (int)
                        settings.get(StandinSettings.LIST_LAG).toMillis());
        return list::close;
    }

    private static String listenAddress(Settings settings) {
        return settings.get(StandinSettings.LISTEN_ADDRESS).toString();
    }

    private static void crash() {
        Runtime.getRuntime().halt(CRASH_STATUS);
    }

    private static List<String> words(String text) {
        return text.isBlank() ? List.of() : Arrays.asList(text.trim().split(" +"));
    }

    private static Map<String, Long> sizes(String text) throws IOException {
        Map<String, Long> sizes = new HashMap<>();
        for (String pair : words(text)) {
            int equals = pair.indexOf('=');
            if (equals < 1 || !pair.substring(equals + 1).matches("[0-9]{1,9}")) {
                throw new IOException("engine.sizes: '" + pair + "' must have the form name=megabytes");
            }
            sizes.put(pair.substring(0, equals), Long.parseLong(pair.substring(equals + 1)));
        }
        return sizes;
    }

    /** Starts a process and returns what stops it. */
    @FunctionalInterface
    private interface Starter {

        Runnable start(Settings settings) throws IOException;
    }

    /** Runs a process until a signal asks it to stop. */
    private record Launcher(SettingsSchema schema, Starter starter) implements DaemonLauncher {

        @Override
        public ExitCode launch(Settings settings) throws IOException {
            Runnable stop = starter.start(settings);
            // The virtual machine ends when this hook returns, so the hook does the graceful stop.
            Runtime.getRuntime().addShutdownHook(new Thread(stop, "stop"));
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            return ExitCode.OK;
        }
    }
}
