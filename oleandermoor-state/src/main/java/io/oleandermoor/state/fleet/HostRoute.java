package io.oleandermoor.state.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A route: requests of a host whose path starts with a prefix, and how they are served.
 *
 * @param name the name of the route
 * @param host the host name that callers send
 * @param pathPrefix the start of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a caller is kept waiting
 * @param latencyTargetMillis the time within which an answer, or the first event of a stream, is on time
 * @param eventIntervalTargetMillis the longest pause between two events of a stream that is on time; 0 if none is set
 * @param priority the rank, 0 is the highest
 * @param services the services among which requests are divided, at least one
 * @param maximumAttempts the largest number of instances to which one request is sent
 * @param traits what the route allows
 */
public record HostRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long latencyTargetMillis,
        long eventIntervalTargetMillis,
        int priority,
        List<WeightedService> services,
        int maximumAttempts,
        Traits traits) {

    /** Checks the arguments. */
    public HostRoute {
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * What a route allows.
     *
     * @param anonymousAllowed whether requests need no key
     * @param sessions whether requests of a session share parts of their prompt
     * @param resumable whether a stream may go on at another instance after its last event
     */
    public record Traits(boolean anonymousAllowed, boolean sessions, boolean resumable) {}

    /**
     * A service and its share of the requests of a route.
     *
     * @param service the name of the service
     * @param weight the share, relative to the other weights
     */
    public record WeightedService(String service, double weight) {}

    /** Returns whether answers are streams of events. */
    public boolean streaming() {
        return kind == RequestKind.STREAMING;
    }

    /** Returns whether a request may run again after it ran or may have run. */
    public boolean repeatable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAMING && traits.resumable());
    }

    /**
     * Returns the service of a request.
     *
     * @param draw a number from 0 to below 1 that belongs to the request
     */
    public String serviceFor(double draw) {
        double total = 0;
        for (WeightedService each : services) {
            total += each.weight();
        }
        double rest = draw * total;
        for (WeightedService each : services) {
            rest -= each.weight();
            if (rest < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
