package io.oleandermoor.gateway.settings;

import io.oleandermoor.state.dispatch.DispatchMechanism;
import io.oleandermoor.state.residency.PlacementMechanism;
import io.oleandermoor.state.residency.ResidencyPolicy;
import io.oleandermoor.transport.settings.Address;
import io.oleandermoor.transport.settings.Setting;
import io.oleandermoor.transport.settings.SettingsSchema;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

/** Settings of an entry that runs on the platform. */
public final class GatewaySettings {

    /** Name of the entry, unique in the deployment. */
    public static final Setting<String> NAME =
            Setting.identifier("process.name", text -> text, "Name of the machine, unique in the deployment.");

    /** Failure domain of the machine. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.identifier("process.failure-domain", text -> text, "Failure domain that the machine is in.");

    /** Region of the machine. */
    public static final Setting<String> REGION =
            Setting.text("process.region", "Region that the machine is in.").defaultingTo("");

    /** Regions of the failure domains. */
    public static final Setting<Map<String, String>> REGIONS = Setting.table(
                    "process.regions", "Region of each failure domain, for requests that may run only in some regions.")
            .defaultingTo("[]");

    /** Number of cores of the machine. */
    public static final Setting<Double> CORES =
            Setting.decimal("machine.cores", "Number of cores of the machine.").defaultingTo("1");

    /** Fraction of the time of each core that the entry may use. */
    public static final Setting<Double> CORE_SHARE = Setting.decimal(
                    "machine.core-share", "Fraction of the time of each core that is available.")
            .defaultingTo("1");

    /** Address for requests of callers. */
    public static final Setting<Address> CALLER_ADDRESS =
            Setting.listenAddress("listen.caller", "Address on which callers send requests over HTTP.");

    /** Address of the readiness check. */
    public static final Setting<Address> READY_ADDRESS =
            Setting.listenAddress("listen.ready", "Address of the readiness check of the load balancer.");

    /** UDP address for reports of other entries. */
    public static final Setting<Address> PEER_ADDRESS =
            Setting.listenAddress("listen.peer", "UDP address for reports of other entries.");

    /** Address of the store. */
    public static final Setting<Address> STORE_ADDRESS =
            Setting.address("store.address", "Address of the platform's store.");

    /** Number of writes that all entries together may send to the store in a second. */
    public static final Setting<Double> STORE_WRITE_RATE = Setting.decimal(
                    "store.write-rate", "Writes to the store that all entries together may send in a second.")
            .defaultingTo("400");

    /** Time after which a revoked key must be rejected by every entry. */
    public static final Setting<Duration> REVOCATION = Setting.duration(
            "limits.revocation",
            "Time after which every entry rejects a revoked key, even without a connection to the store.");

    /** Time after which a draining instance must not receive new requests. */
    public static final Setting<Duration> DRAIN = Setting.duration(
                    "limits.drain", "Time after which a draining instance must not receive new requests.")
            .defaultingTo("2s");

    /** Time after which nothing may reach an instance of an evacuated failure domain. */
    public static final Setting<Duration> EVACUATION = Setting.duration(
                    "limits.evacuation",
                    "Time after which nothing may reach the instances of a failure domain that is evacuated.")
            .defaultingTo("5s");

    /** Time that a graceful shutdown may take. */
    public static final Setting<Duration> GRACE =
            Setting.duration("limits.grace", "Time between the stop signal and the forced termination of the process.");

    /** Heap memory for the heads of the requests of all callers. */
    public static final Setting<Long> CALLER_MEMORY = Setting.size(
                    "limits.caller-memory",
                    "Heap memory for the heads of all requests; a quarter of the maximum heap by default.")
            .optional();

    /** Number of descriptors that the process may use; the platform may state it as a fraction. */
    public static final Setting<Double> DESCRIPTORS = Setting.decimal(
                    "limits.descriptors",
                    "Descriptors that the process may open, of which 700 are not for callers; by default what the "
                            + "operating system permits.")
            .optional();

    /** Length of the window of the retry budget. */
    public static final Setting<Duration> RETRY_WINDOW =
            Setting.duration("retries.window", "Length of the window in which retries are counted.");

    /** Retries per request that the retry budget permits. */
    public static final Setting<Double> RETRY_RATIO =
            Setting.decimal("retries.ratio", "Number of retries permitted per request, over all entries.");

    /** Retries per window that the retry budget permits regardless of the number of requests. */
    public static final Setting<Double> RETRY_FIXED =
            Setting.decimal("retries.fixed", "Number of retries always permitted per window, over all entries.");

    /** Minimum time between the orders of two successive holders of the order lease. */
    public static final Setting<Duration> HOLDER_GAP =
            Setting.duration("orders.holder-gap", "Minimum time between the orders of two entries to one engine.");

    /** Factor on the rate of a cold instance in the bound on its requests. */
    public static final Setting<Double> COLD_OVERRUN = Setting.decimal(
                    "cold.overrun", "Factor on the rate of a cold instance in the bound on its requests in a second.")
            .defaultingTo("1.5");

    /** Number of requests above the rate in the bound on the requests of a cold instance. */
    public static final Setting<Double> COLD_SLACK = Setting.decimal(
                    "cold.slack", "Number of requests in a second added to the bound of a cold instance.")
            .defaultingTo("5");

    /** Policy that places models on engines. */
    public static final Setting<ResidencyPolicy> PLACEMENT = Setting.choice(
                    "orders.placement", ResidencyPolicy.class, "Policy that places models on engines.")
            .defaultingTo("LEAST_HARM");

    /** Mechanisms of dispatch that are not used. */
    public static final Setting<Set<DispatchMechanism>> DISABLED_DISPATCH = Setting.choices(
                    "dispatch.disabled", DispatchMechanism.class, "Mechanisms of dispatch that are not used.")
            .defaultingTo("");

    /** Mechanisms of the placement of models that are not used. */
    public static final Setting<Set<PlacementMechanism>> DISABLED_PLACEMENT = Setting.choices(
                    "orders.disabled",
                    PlacementMechanism.class,
                    "Mechanisms of the placement of models that are not used.")
            .defaultingTo("");

    /** All settings. */
    public static final SettingsSchema SCHEMA = SettingsSchema.builder(
                    "gateway", "Receives requests of callers and forwards them to instances on the platform.")
            .with(
                    NAME,
                    FAILURE_DOMAIN,
                    REGION,
                    REGIONS,
                    CORES,
                    CORE_SHARE,
                    CALLER_ADDRESS,
                    READY_ADDRESS,
                    PEER_ADDRESS,
                    STORE_ADDRESS,
                    STORE_WRITE_RATE,
                    REVOCATION,
                    DRAIN,
                    EVACUATION,
                    GRACE,
                    CALLER_MEMORY,
                    DESCRIPTORS,
                    RETRY_WINDOW,
                    RETRY_RATIO,
                    RETRY_FIXED,
                    HOLDER_GAP,
                    COLD_OVERRUN,
                    COLD_SLACK,
                    PLACEMENT,
                    DISABLED_DISPATCH,
                    DISABLED_PLACEMENT)
            .build();

    private GatewaySettings() {}
}
