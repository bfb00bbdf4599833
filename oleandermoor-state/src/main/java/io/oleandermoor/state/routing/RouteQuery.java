package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;

/**
 * Requirements of a request for the choice of an upstream.
 *
 * @param target the model, adapter or plain service that must be ready
 * @param fallback an alternative if the target is not ready: the base model of an adapter, which then has to be loaded
 *     first
 * @param homeDomain the failure domain of the entry; upstreams in this domain are preferred
 * @param prefix the leading blocks of the prompt
 * @param excluded upstreams that must not be chosen, such as those that were already tried
 */
public record RouteQuery(
        RouteTarget target,
        Optional<RouteTarget> fallback,
        FailureDomain homeDomain,
        PromptPrefix prefix,
        Set<UpstreamId> excluded) {

    /** Makes a defensive copy of the excluded upstreams. */
    public RouteQuery {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns a query for a model.
     *
     * @param model the model
     * @param homeDomain the failure domain of the entry
     * @return the query
     */
    public static RouteQuery forModel(ModelName model, FailureDomain homeDomain) {
        return of(new RouteTarget.OfModel(model), Optional.empty(), homeDomain);
    }

    /**
     * Returns a query for an adapter, with its base model as the fallback: an upstream that has only the base model can
     * load the adapter first.
     *
     * @param adapter the adapter
     * @param model its base model
     * @param homeDomain the failure domain of the entry
     * @return the query
     */
    public static RouteQuery forAdapter(AdapterName adapter, ModelName model, FailureDomain homeDomain) {
        return of(new RouteTarget.OfAdapter(adapter), Optional.of(new RouteTarget.OfModel(model)), homeDomain);
    }

    /**
     * Returns a query for a plain service.
     *
     * @param service the service
     * @param homeDomain the failure domain of the entry
     * @return the query
     */
    public static RouteQuery forService(ServiceName service, FailureDomain homeDomain) {
        return of(new RouteTarget.OfService(service), Optional.empty(), homeDomain);
    }

    private static RouteQuery of(RouteTarget target, Optional<RouteTarget> fallback, FailureDomain homeDomain) {
        return new RouteQuery(target, fallback, homeDomain, PromptPrefix.empty(), Set.of());
    }

    /**
     * Returns a copy of this query with the given prompt prefix.
     *
     * @param newPrefix the prefix
     * @return a new query
     */
    public RouteQuery withPrefix(PromptPrefix newPrefix) {
        return new RouteQuery(target, fallback, homeDomain, newPrefix, excluded);
    }

    /**
     * Returns a copy of this query with the given excluded upstreams.
     *
     * @param newExcluded the upstreams that must not be chosen
     * @return a new query
     */
    public RouteQuery withExcluded(Set<UpstreamId> newExcluded) {
        return new RouteQuery(target, fallback, homeDomain, prefix, newExcluded);
    }
}
