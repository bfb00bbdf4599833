package io.oleandermoor.transport.settings;

import io.oleandermoor.state.finding.Findings;
import java.time.Duration;

/** Settings of the entry. */
public final class EntrySettings {

    /** Address for callers. */
    public static final Setting<Address> CALLER_ADDRESS =
            Setting.listenAddress("listen.caller", "Address on which callers send requests over HTTP.");

    /** Largest value of {@link #REQUEST_TIME_LIMIT}; records of non-repeatable calls are kept for longer than this. */
    public static final Duration LARGEST_REQUEST_TIME = Duration.ofHours(1);

    /** Number of connections of callers. */
    public static final Setting<Integer> CONNECTION_LIMIT = Setting.count(
                    "limits.connections",
                    1,
                    1_000_000,
                    "Largest number of open connections of callers; more are refused with status 503.")
            .defaultingTo("20000");

    /** Number of requests in flight. */
    public static final Setting<Integer> REQUEST_LIMIT = Setting.count(
                    "limits.requests",
                    1,
                    1_000_000,
                    "Largest number of requests in flight; more are refused with status 503.")
            .defaultingTo("20000");

    /** Size of the largest body of a model request. */
    public static final Setting<Long> BODY_LIMIT = Setting.size(
                    "limits.body", "Size of the largest body of a request for a model; routes have their own limit.")
            .defaultingTo("4MB");

    /** Longest time that a request may take. */
    public static final Setting<Duration> REQUEST_TIME_LIMIT = Setting.duration(
                    "limits.request-time",
                    "Longest time that a caller may set for a request, at most 1h; without one it is 60s or this if less.")
            .defaultingTo("10min");

    /** Wait for the load balancer when stopping. */
    public static final Setting<Duration> LOAD_BALANCER_WAIT = Setting.duration(
                    "drain.load-balancer-wait",
                    "Time for which a stopping entry still accepts requests after its readiness has failed.")
            .defaultingTo("5s");

    /** All settings of the entry. */
    public static final SettingsSchema SCHEMA = SettingsSchema.builder(
                    "entry", "Receives requests of callers and sends them to agents.")
            .with(
                    CommonSettings.INSTANCE_ID,
                    CommonSettings.FAILURE_DOMAIN,
                    CommonSettings.REGION,
                    CommonSettings.WORKERS,
                    CALLER_ADDRESS,
                    CommonSettings.ADMIN_ADDRESS,
                    CommonSettings.PEER_ADDRESS,
                    CommonSettings.KEY_VALUE_SERVICE,
                    CommonSettings.INSTANCE_LIST,
                    CommonSettings.PLATFORM_TIMEOUT,
                    CommonSettings.ADMINISTRATION_CREDENTIAL_HASH,
                    CommonSettings.ADMINISTRATION_BODY_LIMIT,
                    CONNECTION_LIMIT,
                    REQUEST_LIMIT,
                    BODY_LIMIT,
                    REQUEST_TIME_LIMIT,
                    CommonSettings.DRAIN_LIMIT,
                    LOAD_BALANCER_WAIT)
            .rule(EntrySettings::checkRequestTime)
            .build();

    private EntrySettings() {}

    private static void checkRequestTime(Settings settings, Findings findings) {
        Duration limit = settings.get(REQUEST_TIME_LIMIT);
        if (limit.isZero() || limit.compareTo(LARGEST_REQUEST_TIME) > 0) {
            findings.error(REQUEST_TIME_LIMIT.name(), "must be more than 0ms and at most 1h");
        }
    }
}
