package io.oleandermoor.state.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** A version of the operators' configuration, indexed for lookups. Immutable and thread-safe. */
public final class FleetDocument {

    private final long version;
    private final Map<String, List<HostRoute>> routesByHost = new HashMap<>();
    private final Map<String, UpstreamService> services = new HashMap<>();
    private final Map<String, TeamLimits> teams = new HashMap<>();
    private final Map<String, TeamLimits> teamsByKey = new HashMap<>();
    private final CallerLimits limits;

    /**
     * Creates a version of the configuration.
     *
     * @param version the version number, which increases with each version
     * @param routes the routes
     * @param services the services
     * @param teams the teams
     * @param limits the limits on requests from callers
     */
    public FleetDocument(
            long version,
            List<HostRoute> routes,
            List<UpstreamService> services,
            List<TeamLimits> teams,
            CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        for (HostRoute route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<HostRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
        for (TeamLimits team : teams) {
            this.teams.put(team.name(), team);
            team.keys().forEach(key -> teamsByKey.put(key, team));
        }
    }

    /** Returns the version number. */
    public long version() {
        return version;
    }

    /** Returns the limits on requests from callers. */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the route with the longest path prefix that matches a request.
     *
     * @param host the host name without a port
     * @param path the path without a query
     */
    public Optional<HostRoute> route(String host, String path) {
        for (HostRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the names of all services that run streams. */
    public Set<String> streamServices() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.kind() == RequestKind.STREAMING)
                .flatMap(route -> route.services().stream())
                .map(HostRoute.WeightedService::service)
                .collect(Collectors.toSet());
    }

    /** Returns the team of an API key. */
    public Optional<TeamLimits> teamOfKey(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /** Returns the service with a name. */
    public Optional<UpstreamService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services. */
    public List<UpstreamService> services() {
        return List.copyOf(services.values());
    }

    /** Returns all teams. */
    public List<TeamLimits> teams() {
        return List.copyOf(teams.values());
    }
}
