package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
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
 * @param settings settings of the whole fleet
 */
public record ConfigurationDocument(
        List<Team> teams,
        List<ApiKey> keys,
        List<Model> models,
        List<Adapter> adapters,
        List<Route> routes,
        FleetSettings settings) {

    /** Copies the lists. */
    @JsonCreator
    public ConfigurationDocument(
            @JsonProperty("teams") @Nullable List<Team> teams,
            @JsonProperty("keys") @Nullable List<ApiKey> keys,
            @JsonProperty("models") @Nullable List<Model> models,
            @JsonProperty("adapters") @Nullable List<Adapter> adapters,
            @JsonProperty("routes") @Nullable List<Route> routes,
            @JsonProperty("settings") @Nullable FleetSettings settings) {
        this.teams = copyOrEmpty(teams);
        this.keys = copyOrEmpty(keys);
        this.models = copyOrEmpty(models);
        this.adapters = copyOrEmpty(adapters);
        this.routes = copyOrEmpty(routes);
        this.settings = settings == null ? FleetSettings.DEFAULT : settings;
    }

    /**
     * Creates a document with the default settings of the fleet.
     *
     * @param teams the teams
     * @param keys the issued keys
     * @param models the models
     * @param adapters the adapters
     * @param routes the routes
     */
    public ConfigurationDocument(
            List<Team> teams, List<ApiKey> keys, List<Model> models, List<Adapter> adapters, List<Route> routes) {
        this(teams, keys, models, adapters, routes, FleetSettings.DEFAULT);
    }

    private static <T> List<T> copyOrEmpty(@Nullable List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
