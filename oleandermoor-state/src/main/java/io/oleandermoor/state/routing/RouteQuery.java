package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;

/**
 * What a request asks of routing.
 *
 * @param target what must be ready
 * @param fallback what serves the request with extra work when the target is not ready: the base model of an adapter
 * @param homeDomain the failure domain of the entry, which is preferred
 * @param prefix the leading blocks of the prompt
 * @param excluded upstreams that must not be chosen, such as those already tried
 */
public record RouteQuery(
        RouteTarget target,
        Optional<RouteTarget> fallback,
        FailureDomain homeDomain,
        PromptPrefix prefix,
        Set<UpstreamId> excluded) {

    /** Copies the set. */
    public RouteQuery {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Asks for a model.
     *
     * @param model the model
     * @param home the failure domain of the entry
     * @return the query
     */
    public static RouteQuery forModel(ModelName model, FailureDomain home) {
        return of(new RouteTarget.OfModel(model), Optional.empty(), home);
    }

    /**
     * Asks for an adapter; an upstream with only the base model can load the adapter first.
     *
     * @param adapter the adapter
     * @param model its base model
     * @param home the failure domain of the entry
     * @return the query
     */
    public static RouteQuery forAdapter(AdapterName adapter, ModelName model, FailureDomain home) {
        return of(new RouteTarget.OfAdapter(adapter), Optional.of(new RouteTarget.OfModel(model)), home);
    }

    /**
     * Asks for a plain service.
     *
     * @param service the service
     * @param home the failure domain of the entry
     * @return the query
     */
    public static RouteQuery forService(ServiceName service, FailureDomain home) {
        return of(new RouteTarget.OfService(service), Optional.empty(), home);
    }

    private static RouteQuery of(RouteTarget target, Optional<RouteTarget> fallback, FailureDomain home) {
        return new RouteQuery(target, fallback, home, PromptPrefix.empty(), Set.of());
    }

    /**
     * Returns this query with a prompt prefix.
     *
     * @param newPrefix the prefix
     * @return a new query
     */
    public RouteQuery withPrefix(PromptPrefix newPrefix) {
        return new RouteQuery(target, fallback, homeDomain, newPrefix, excluded);
    }

    /**
     * Returns this query with other excluded upstreams.
     *
     * @param newExcluded the upstreams
     * @return a new query
     */
    public RouteQuery withExcluded(Set<UpstreamId> newExcluded) {
        return new RouteQuery(target, fallback, homeDomain, prefix, newExcluded);
    }
}
