package io.oleandermoor.gateway.settings;

import io.oleandermoor.state.residency.ResidencyPolicy;
import io.oleandermoor.transport.settings.Address;
import io.oleandermoor.transport.settings.Setting;
import io.oleandermoor.transport.settings.SettingsSchema;
import java.time.Duration;

/** Settings of the entry on the platform. */
public final class GatewaySettings {

    /** Name of the process. */
    public static final Setting<String> NAME =
            Setting.identifier("process.name", text -> text, "Name of the machine, unique in the deployment.");

    /** Failure domain of the process. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.identifier("process.failure-domain", text -> text, "Failure domain that the machine is in.");

    /** Cores of the machine. */
    public static final Setting<Double> CORES =
            Setting.decimal("machine.cores", "Number of cores of the machine.").defaultingTo("1");

    /** Share of the cores of the machine. */
    public static final Setting<Double> CORE_SHARE = Setting.decimal(
                    "machine.core-share", "Part of the time of each core that the machine gives.")
            .defaultingTo("1");

    /** Address for callers. */
    public static final Setting<Address> CALLER_ADDRESS =
            Setting.listenAddress("listen.caller", "Address on which callers send requests over HTTP.");

    /** Address of the readiness check. */
    public static final Setting<Address> READY_ADDRESS =
            Setting.listenAddress("listen.ready", "Address on which the load balancer asks whether to send callers.");

    /** Address for other entries. */
    public static final Setting<Address> PEER_ADDRESS =
            Setting.listenAddress("listen.peer", "UDP address for the reports of the other entries.");

    /** Address of the store. */
    public static final Setting<Address> STORE_ADDRESS =
            Setting.address("store.address", "Address of the platform's store.");

    /** Time within which a revoked key ends. */
    public static final Setting<Duration> REVOCATION = Setting.duration(
            "limits.revocation", "Time after which a revoked key works nowhere, also without a path to the store.");

    /** Time within which a leaving instance is left alone. */
    public static final Setting<Duration> DRAIN = Setting.duration(
                    "limits.drain", "Time after which an instance that leaves must not get anything new.")
            .defaultingTo("2s");

    /** Time that a stop may take. */
    public static final Setting<Duration> GRACE =
            Setting.duration("limits.grace", "Time from a signal to stop to the end of the process by force.");

    /** Window of the retry budget. */
    public static final Setting<Duration> RETRY_WINDOW =
            Setting.duration("retries.window", "Length of the window in which repeated sends are counted.");

    /** Ratio of the retry budget. */
    public static final Setting<Double> RETRY_RATIO =
            Setting.decimal("retries.ratio", "Repeated sends that one request permits, over all entries.");

    /** Fixed part of the retry budget. */
    public static final Setting<Double> RETRY_FIXED =
            Setting.decimal("retries.fixed", "Repeated sends that are permitted in a window, over all entries.");

    /** Gap between the orders of two holders. */
    public static final Setting<Duration> HOLDER_GAP =
            Setting.duration("orders.holder-gap", "Time that passes between the orders of two entries to one engine.");

    /** How models are spread. */
    public static final Setting<ResidencyPolicy> PLACEMENT = Setting.choice(
                    "orders.placement", ResidencyPolicy.class, "How models are spread over engines.")
            .defaultingTo("LEAST_HARM");

    /** All settings. */
    public static final SettingsSchema SCHEMA = SettingsSchema.builder(
                    "gateway", "Receives requests of callers and sends them to instances of the platform.")
            .with(
                    NAME,
                    FAILURE_DOMAIN,
                    CORES,
                    CORE_SHARE,
                    CALLER_ADDRESS,
                    READY_ADDRESS,
                    PEER_ADDRESS,
                    STORE_ADDRESS,
                    REVOCATION,
                    DRAIN,
                    GRACE,
                    RETRY_WINDOW,
                    RETRY_RATIO,
                    RETRY_FIXED,
                    HOLDER_GAP,
                    PLACEMENT)
            .build();

    private GatewaySettings() {}
}
