package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The content of a configuration as lists, in the form that is written as JSON. A missing list is empty.
 *
 * @param teams the teams
 * @param keys the issued keys
 * @param models the models that must stay reachable
 * @param adapters the adapters that must stay available
 * @param routes the routes to plain services
 */
public record ConfigurationDocument(
        List<Team> teams, List<ApiKey> keys, List<Model> models, List<Adapter> adapters, List<Route> routes) {

    /** Copies the lists. */
    public ConfigurationDocument(
            @JsonProperty("teams") @Nullable List<Team> teams,
            @JsonProperty("keys") @Nullable List<ApiKey> keys,
            @JsonProperty("models") @Nullable List<Model> models,
            @JsonProperty("adapters") @Nullable List<Adapter> adapters,
            @JsonProperty("routes") @Nullable List<Route> routes) {
        this.teams = copy(teams);
        this.keys = copy(keys);
        this.models = copy(models);
        this.adapters = copy(adapters);
        this.routes = copy(routes);
    }

    private static <T> List<T> copy(@Nullable List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
