package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The content of a configuration in the form that is stored and exchanged as JSON. A missing list is read as empty.
 *
 * @param teams the teams
 * @param keys the issued keys
 * @param models the models that must stay reachable
 * @param adapters the adapters that must stay available
 * @param routes the routes to plain services
 * @param settings settings that apply to the whole fleet
 */
public record ConfigurationDocument(
        List<Team> teams,
        List<ApiKey> keys,
        List<Model> models,
        List<Adapter> adapters,
        List<Route> routes,
        FleetSettings settings) {

    /** Copies the lists and replaces missing parts by empty lists and default settings. */
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
     * Creates a document with default fleet settings.
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
