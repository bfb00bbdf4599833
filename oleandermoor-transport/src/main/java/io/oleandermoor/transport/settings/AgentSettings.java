package io.oleandermoor.transport.settings;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import java.time.Duration;

/** Settings of the agent. */
public final class AgentSettings {

    /** Identifier of the upstream. */
    public static final Setting<UpstreamId> UPSTREAM_ID = Setting.identifier(
            "upstream.id", UpstreamId::new, "Identifier of the upstream beside which the agent runs.");

    /** Kind of the upstream. */
    public static final Setting<UpstreamKind> UPSTREAM_KIND =
            Setting.choice("upstream.kind", UpstreamKind.class, "What the upstream is.");

    /** Address of the upstream. */
    public static final Setting<Address> UPSTREAM_ADDRESS =
            Setting.address("upstream.address", "Address on which the upstream serves HTTP.");

    /** Name of the plain service. */
    public static final Setting<ServiceName> SERVICE_NAME = Setting.identifier(
                    "upstream.service", ServiceName::new, "Name of the plain service; required for kind SERVICE.")
            .optional();

    /** Accelerator memory of the engine. */
    public static final Setting<Long> MEMORY = Setting.size(
                    "upstream.memory",
                    "Accelerator memory for models and adapters; required for kind ENGINE, whole megabytes.")
            .optional();

    /** Number of requests that the upstream runs at once. */
    public static final Setting<Integer> SLOTS = Setting.count(
                    "upstream.slots", 1, 10_000, "Number of requests that the upstream runs at the same time.")
            .defaultingTo("32");

    /** Use of fencing numbers by the engine. */
    public static final Setting<FencingSupport> FENCING = Setting.choice(
                    "upstream.fencing",
                    FencingSupport.class,
                    "What the engine does with the fencing number of an order.")
            .defaultingTo("IGNORED");

    /** Longest delay of an order. */
    public static final Setting<Duration> ORDER_DELAY_LIMIT = Setting.duration(
                    "upstream.order-delay-limit", "Time after which an order that was sent can no longer take effect.")
            .defaultingTo("60s");

    /** Longest silence of the upstream during a call. */
    public static final Setting<Duration> SILENCE_LIMIT = Setting.duration(
                    "upstream.silence-limit",
                    "Time without a byte from the upstream after which a call counts as failed. Must be longer than"
                            + " the processing of the longest prompt; if not set, 10s for kind ENGINE and 60s for"
                            + " kind SERVICE.")
            .optional();

    /** Longest wait in the queue. */
    public static final Setting<Duration> QUEUE_WAIT_LIMIT = Setting.duration(
                    "limits.queue-wait",
                    "Expected wait for a slot beyond which a new request is refused with status 503.")
            .defaultingTo("30s");

    /** All settings of the agent. */
    public static final SettingsSchema SCHEMA = SettingsSchema.builder(
                    "agent", "Runs beside one upstream and is the only process that sends to it.")
            .with(
                    CommonSettings.INSTANCE_ID,
                    CommonSettings.FAILURE_DOMAIN,
                    CommonSettings.REGION,
                    CommonSettings.WORKERS,
                    CommonSettings.ADMIN_ADDRESS,
                    CommonSettings.PEER_ADDRESS,
                    CommonSettings.KEY_VALUE_SERVICE,
                    CommonSettings.INSTANCE_LIST,
                    CommonSettings.PLATFORM_TIMEOUT,
                    UPSTREAM_ID,
                    UPSTREAM_KIND,
                    UPSTREAM_ADDRESS,
                    SERVICE_NAME,
                    MEMORY,
                    SLOTS,
                    FENCING,
                    ORDER_DELAY_LIMIT,
                    SILENCE_LIMIT,
                    QUEUE_WAIT_LIMIT,
                    CommonSettings.ADMINISTRATION_CREDENTIAL_HASH,
                    CommonSettings.ADMINISTRATION_BODY_LIMIT,
                    CommonSettings.DRAIN_LIMIT)
            .rule(AgentSettings::checkKind)
            .build();

    private static final Duration SILENCE_OF_ENGINE = Duration.ofSeconds(10);

    private static final Duration SILENCE_OF_SERVICE = Duration.ofSeconds(60);

    private static final long MEGABYTE = 1L << 20;

    private AgentSettings() {}

    /**
     * Returns the longest silence of the upstream during a call.
     *
     * @param settings settings of the agent's schema
     * @return the setting, or else the default for the kind of the upstream
     */
    public static Duration silenceLimit(Settings settings) {
        return settings.find(SILENCE_LIMIT)
                .orElse(settings.get(UPSTREAM_KIND) == UpstreamKind.SERVICE ? SILENCE_OF_SERVICE : SILENCE_OF_ENGINE);
    }

    private static void checkKind(Settings settings, Findings findings) {
        boolean service = settings.get(UPSTREAM_KIND) == UpstreamKind.SERVICE;
        if (service && settings.find(SERVICE_NAME).isEmpty()) {
            findings.error(SERVICE_NAME.name(), "is missing for an upstream of kind SERVICE");
        }
        if (!service && settings.find(SERVICE_NAME).isPresent()) {
            findings.error(SERVICE_NAME.name(), "must not be set for an upstream of kind ENGINE");
        }
        if (!service && settings.find(MEMORY).isEmpty()) {
            findings.error(MEMORY.name(), "is missing for an upstream of kind ENGINE");
        }
        if (service && settings.find(MEMORY).isPresent()) {
            findings.error(MEMORY.name(), "must not be set for an upstream of kind SERVICE");
        }
        if (settings.find(MEMORY)
                .filter(bytes -> bytes < MEGABYTE || bytes % MEGABYTE != 0)
                .isPresent()) {
            findings.error(MEMORY.name(), "must be a positive number of whole megabytes");
        }
    }
}
