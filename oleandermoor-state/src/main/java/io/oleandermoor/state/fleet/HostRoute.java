package io.oleandermoor.state.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A route: selects requests by host and path prefix, and defines how they are served.
 *
 * @param name the name of the route
 * @param host the host name in the request
 * @param pathPrefix the path prefix, which starts and ends with a slash
 * @param kind the kind of its requests, which decides whether they may be repeated
 * @param timeoutMillis the maximum time that a request may take
 * @param latencyTargetMillis the target time for the response, or for the first event of a stream
 * @param eventIntervalTargetMillis the maximum target time between two events of a stream; 0 if none is set
 * @param priority the priority; 0 is the highest
 * @param services the services among which requests are distributed; at least one
 * @param maximumAttempts the maximum number of instances to which a request is sent
 * @param traits the optional features of the route
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

    /** Copies the services and checks that there is at least one. */
    public HostRoute {
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * The optional features of a route.
     *
     * @param anonymousAllowed whether requests without an API key are allowed
     * @param sessions whether requests of a session share prompt parts
     * @param resumable whether a stream may be continued by another instance after its last event
     * @param allowedRegions the regions in which requests may run; empty if they may run in all of them
     */
    public record Traits(boolean anonymousAllowed, boolean sessions, boolean resumable, Set<String> allowedRegions) {

        /** Copies the regions. */
        public Traits {
            allowedRegions = Set.copyOf(allowedRegions);
        }

        /** Creates the features of a route whose requests may run in all regions. */
        public Traits(boolean anonymousAllowed, boolean sessions, boolean resumable) {
            this(anonymousAllowed, sessions, resumable, Set.of());
        }
    }

    /**
     * A service and its weight among the services of a route.
     *
     * @param service the name of the service
     * @param weight the share of the requests, relative to the other weights
     */
    public record WeightedService(String service, double weight) {}

    /** Returns whether responses are event streams. */
    public boolean streaming() {
        return kind == RequestKind.STREAMING;
    }

    /** Returns whether a request may be sent again after it has run or may have run. */
    public boolean repeatable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAMING && traits.resumable());
    }

    /**
     * Returns the service for a request, chosen by weight.
     *
     * @param fraction a number from 0 (inclusive) to 1 (exclusive) that is derived from the request
     */
    public String serviceFor(double fraction) {
        double totalWeight = 0;
        for (WeightedService candidate : services) {
            totalWeight += candidate.weight();
        }
        double remainingWeight = fraction * totalWeight;
        for (WeightedService candidate : services) {
            remainingWeight -= candidate.weight();
            if (remainingWeight < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
