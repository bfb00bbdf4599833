package io.oleandermoor.transport.settings;

import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import java.time.Duration;

/** Settings of the stand-ins for external systems. */
public final class StandinSettings {

    /** Address of a stand-in. */
    public static final Setting<Address> LISTEN_ADDRESS =
            Setting.listenAddress("listen.address", "Address on which the stand-in serves.");

    /** Delay before each response. */
    public static final Setting<Duration> LATENCY =
            Setting.duration("behaviour.latency", "Delay before each response.").defaultingTo("0ms");

    /** Seed of the random source. */
    public static final Setting<Integer> SEED = Setting.count(
                    "behaviour.seed", 0, 999_999_999, "Seed of the random source of injected faults.")
            .defaultingTo("1");

    /** Identifier of the stand-in engine. */
    public static final Setting<UpstreamId> ENGINE_ID =
            Setting.identifier("engine.id", UpstreamId::new, "Identifier of the engine.");

    /** Accelerator memory of the stand-in engine. */
    public static final Setting<Long> ENGINE_MEMORY =
            Setting.size("engine.memory", "Accelerator memory; a load beyond it crashes the engine.");

    /** Number of requests that the stand-in engine runs at once. */
    public static final Setting<Integer> ENGINE_SLOTS = Setting.count(
                    "engine.slots", 1, 10_000, "Number of requests that run at the same time.")
            .defaultingTo("32");

    /** Time between two tokens of the stand-in engine. */
    public static final Setting<Duration> ENGINE_TOKEN_INTERVAL = Setting.duration(
                    "engine.token-interval", "Time between two generated tokens.")
            .defaultingTo("20ms");

    /** Use of fencing numbers by the stand-in engine. */
    public static final Setting<FencingSupport> ENGINE_FENCING = Setting.choice(
                    "engine.fencing", FencingSupport.class, "What the engine does with the fencing number of an order.")
            .defaultingTo("ENFORCED");

    /** Address of the weight store that the stand-in engine loads from. */
    public static final Setting<Address> ENGINE_WEIGHT_STORE = Setting.address(
                    "engine.weight-store", "Address of the weight store; without it weights load at once.")
            .optional();

    /** Models in memory when the stand-in engine starts. */
    public static final Setting<String> ENGINE_MODELS = Setting.text(
                    "engine.models", "Models that are loaded at the start, separated by spaces.")
            .defaultingTo("");

    /** Sizes of models and adapters. */
    public static final Setting<String> ENGINE_SIZES = Setting.text(
                    "engine.sizes",
                    "Memory of models and adapters as name=megabytes, separated by spaces; others take 100 megabytes.")
            .defaultingTo("");

    /** Speed of prompt processing. */
    public static final Setting<Integer> ENGINE_PREFILL = Setting.count(
                    "engine.prefill-tokens", 1, 1_000_000, "Prompt tokens processed in one token interval.")
            .defaultingTo("512");

    /** File with the list of instances. */
    public static final Setting<String> LIST_FILE = Setting.text(
                    "instance-list.file", "File with the list at the start, as JSON; without it the list is empty.")
            .optional();

    /** Name of the stand-in service. */
    public static final Setting<ServiceName> SERVICE_NAME =
            Setting.identifier("service.name", ServiceName::new, "Name of the plain service.");

    /** Model loads per second of the stand-in weight store. */
    public static final Setting<Integer> LOADS_PER_THOUSAND_SECONDS = Setting.count(
                    "weight-store.loads-per-thousand-seconds", 1, 1_000_000, "Model loads started in 1,000 seconds.")
            .defaultingTo("1500");

    /** Model loads at full speed of the stand-in weight store. */
    public static final Setting<Integer> CONCURRENT_LOADS = Setting.count(
                    "weight-store.concurrent-loads", 1, 10_000, "Model loads at full speed at the same time.")
            .defaultingTo("7");

    /** Fast adapter loads in flight of the stand-in weight store. */
    public static final Setting<Integer> ADAPTER_LOADS = Setting.count(
                    "weight-store.adapter-loads", 1, 10_000, "Adapter loads in flight up to which each is fast.")
            .defaultingTo("55");

    /** Writes per second of the stand-in key-value service. */
    public static final Setting<Integer> WRITE_RATE = Setting.count(
                    "key-value-service.write-rate", 1, 1_000_000, "Writes per second that are served.")
            .defaultingTo("300");

    /** Reads per second of the stand-in key-value service. */
    public static final Setting<Integer> READ_RATE = Setting.count(
                    "key-value-service.read-rate", 1, 1_000_000, "Reads per second that are served.")
            .defaultingTo("2000");

    /** Size of the largest value of the stand-in key-value service. */
    public static final Setting<Long> VALUE_LIMIT = Setting.size(
                    "key-value-service.value-limit", "Size of the largest value.")
            .defaultingTo("1MB");

    /** Lag of the stand-in instance list. */
    public static final Setting<Duration> LIST_LAG = Setting.duration(
                    "instance-list.lag", "Time after which a change of an instance appears in the list.")
            .defaultingTo("2s");

    /** Settings of the stand-in engine. */
    public static final SettingsSchema ENGINE = standin("standin-engine", "Stand-in for an engine.")
            .with(
                    ENGINE_ID,
                    ENGINE_MEMORY,
                    ENGINE_SLOTS,
                    ENGINE_TOKEN_INTERVAL,
                    ENGINE_FENCING,
                    ENGINE_WEIGHT_STORE,
                    ENGINE_MODELS,
                    ENGINE_SIZES,
                    ENGINE_PREFILL)
            .build();

    /** Settings of the stand-in plain service. */
    public static final SettingsSchema SERVICE = standin("standin-service", "Stand-in for a plain service.")
            .with(SERVICE_NAME)
            .build();

    /** Settings of the stand-in weight store. */
    public static final SettingsSchema WEIGHT_STORE = standin("standin-weight-store", "Stand-in for the weight store.")
            .with(LOADS_PER_THOUSAND_SECONDS, CONCURRENT_LOADS, ADAPTER_LOADS)
            .build();

    /** Settings of the stand-in key-value service. */
    public static final SettingsSchema KEY_VALUE_SERVICE = standin(
                    "standin-key-value-service", "Stand-in for the platform's key-value service.")
            .with(WRITE_RATE, READ_RATE, VALUE_LIMIT)
            .build();

    /** Settings of the stand-in instance list. */
    public static final SettingsSchema INSTANCE_LIST = standin(
                    "standin-instance-list", "Stand-in for the platform's list of instances.")
            .with(LIST_LAG, LIST_FILE)
            .build();

    private StandinSettings() {}

    private static SettingsSchema.Builder standin(String role, String description) {
        return SettingsSchema.builder(role, description).with(LISTEN_ADDRESS, LATENCY, SEED);
    }
}
