package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.TeamName;

/** A single change to the configuration. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Change.PutTeam.class, name = "put-team"),
    @JsonSubTypes.Type(value = Change.RemoveTeam.class, name = "remove-team"),
    @JsonSubTypes.Type(value = Change.IssueKey.class, name = "issue-key"),
    @JsonSubTypes.Type(value = Change.RevokeKey.class, name = "revoke-key"),
    @JsonSubTypes.Type(value = Change.PutModel.class, name = "put-model"),
    @JsonSubTypes.Type(value = Change.RemoveModel.class, name = "remove-model"),
    @JsonSubTypes.Type(value = Change.PutAdapter.class, name = "put-adapter"),
    @JsonSubTypes.Type(value = Change.RemoveAdapter.class, name = "remove-adapter"),
    @JsonSubTypes.Type(value = Change.PutRoute.class, name = "put-route"),
    @JsonSubTypes.Type(value = Change.RemoveRoute.class, name = "remove-route"),
    @JsonSubTypes.Type(value = Change.PutAdmission.class, name = "put-admission"),
    @JsonSubTypes.Type(value = Change.PutWeightStore.class, name = "put-weight-store"),
    @JsonSubTypes.Type(value = Change.PutOpeningHours.class, name = "put-opening-hours"),
    @JsonSubTypes.Type(value = Change.RemoveOpeningHours.class, name = "remove-opening-hours")
})
public sealed interface Change {

    /**
     * Adds a team or replaces its limits.
     *
     * @param team the team
     */
    record PutTeam(Team team) implements Change {}

    /**
     * Removes a team, revokes its keys and removes it from its opening hours group.
     *
     * @param team the name of the team
     */
    record RemoveTeam(TeamName team) implements Change {}

    /**
     * Issues an API key.
     *
     * @param key the key, with an identifier that no other key has
     */
    record IssueKey(ApiKey key) implements Change {}

    /**
     * Revokes an API key.
     *
     * @param keyId the public identifier of the key
     */
    record RevokeKey(String keyId) implements Change {}

    /**
     * Adds a model or replaces its settings.
     *
     * @param model the model
     */
    record PutModel(Model model) implements Change {}

    /**
     * Removes a model.
     *
     * @param model the name of the model
     */
    record RemoveModel(ModelName model) implements Change {}

    /**
     * Adds an adapter or replaces its settings.
     *
     * @param adapter the adapter
     */
    record PutAdapter(Adapter adapter) implements Change {}

    /**
     * Removes an adapter.
     *
     * @param adapter the name of the adapter
     */
    record RemoveAdapter(AdapterName adapter) implements Change {}

    /**
     * Adds a route or replaces it.
     *
     * @param route the route
     */
    record PutRoute(Route route) implements Change {}

    /**
     * Removes a route.
     *
     * @param route the name of the route
     */
    record RemoveRoute(RouteName route) implements Change {}

    /**
     * Replaces the admission settings.
     *
     * @param admission the settings
     */
    record PutAdmission(AdmissionSettings admission) implements Change {}

    /**
     * Replaces the limits of the weight store.
     *
     * @param weightStore the limits
     */
    record PutWeightStore(WeightStoreLimits weightStore) implements Change {}

    /**
     * Adds the opening hours of a group of teams or replaces them.
     *
     * @param openingHours the hours
     */
    record PutOpeningHours(OpeningHours openingHours) implements Change {}

    /**
     * Removes the opening hours of a group of teams.
     *
     * @param group the name of the group
     */
    record RemoveOpeningHours(String group) implements Change {}
}
