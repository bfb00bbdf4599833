package io.oleandermoor.state.configuration;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.TeamName;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A validated version of the configuration, indexed for lookups. Immutable and safe for use by several threads. */
public final class Configuration {

    private static final Configuration EMPTY =
            new Configuration(0, new ConfigurationDocument(List.of(), List.of(), List.of(), List.of(), List.of()));

    private final long version;
    private final Map<TeamName, Team> teams = new HashMap<>();
    private final Map<KeyHash, ApiKey> keysByHash = new HashMap<>();
    private final Map<String, ApiKey> keysById = new HashMap<>();
    private final Map<ModelName, Model> models = new HashMap<>();
    private final Map<AdapterName, Adapter> adapters = new HashMap<>();
    private final Map<RouteName, Route> routes = new HashMap<>();
    private final List<Route> routesByPath;
    private final FleetSettings settings;

    private Configuration(long version, ConfigurationDocument document) {
        this.version = version;
        document.teams().forEach(team -> teams.put(team.name(), team));
        document.keys().forEach(key -> {
            keysByHash.put(key.hash(), key);
            keysById.put(key.id(), key);
        });
        document.models().forEach(model -> models.put(model.name(), model));
        document.adapters().forEach(adapter -> adapters.put(adapter.name(), adapter));
        document.routes().forEach(route -> routes.put(route.name(), route));
        settings = document.settings();
        routesByPath = routes.values().stream()
                .sorted(Comparator.comparingInt((Route route) -> -route.path().length())
                        .thenComparing(Route::name))
                .toList();
    }

    /**
     * Returns the configuration that is in effect before the first change.
     *
     * @return version 0, without any elements and with default settings
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Returns a configuration with the content of a document.
     *
     * @param version the version, at least 0
     * @param document the content
     * @return the configuration
     * @throws InvalidInputException if the document has an invalid value or an inconsistent reference
     */
    public static Configuration of(long version, ConfigurationDocument document) throws InvalidInputException {
        if (version < 0) {
            throw new IllegalArgumentException("version must not be negative: " + version);
        }
        Findings findings = new Findings();
        ConfigurationValidator.validate(document, findings);
        findings.throwIfErrors();
        return new Configuration(version, document);
    }

    /**
     * Applies a set of changes and returns the resulting configuration. Either all changes are applied or none.
     *
     * @param changeSet the changes
     * @return the configuration with the next version number
     * @throws InvalidInputException if the result is invalid, or if a change removes an element that does not exist or
     *     issues a key whose identifier is in use
     */
    public Configuration apply(ChangeSet changeSet) throws InvalidInputException {
        Findings findings = new Findings();
        ConfigurationDocument next = ChangeApplier.apply(toDocument(), changeSet.changes(), findings);
        ConfigurationValidator.validate(next, findings);
        findings.throwIfErrors();
        return new Configuration(version + 1, next);
    }

    /**
     * Returns the version number.
     *
     * @return 0 for the empty configuration, one more for each accepted set of changes
     */
    public long version() {
        return version;
    }

    /**
     * Returns a team.
     *
     * @param name the name of the team
     * @return the team, or empty if it is not configured
     */
    public Optional<Team> team(TeamName name) {
        return Optional.ofNullable(teams.get(name));
    }

    /**
     * Returns the key with the given hash.
     *
     * @param hash the hash of the key that a caller presented
     * @return the key, or empty if it was never issued or was revoked
     */
    public Optional<ApiKey> key(KeyHash hash) {
        return Optional.ofNullable(keysByHash.get(hash));
    }

    /**
     * Returns the key with the given public identifier.
     *
     * @param id the public identifier
     * @return the key, or empty if it was never issued or was revoked
     */
    public Optional<ApiKey> keyById(String id) {
        return Optional.ofNullable(keysById.get(id));
    }

    /**
     * Returns a model.
     *
     * @param name the name of the model
     * @return the model, or empty if it is not configured
     */
    public Optional<Model> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns an adapter.
     *
     * @param name the name of the adapter
     * @return the adapter, or empty if it is not configured
     */
    public Optional<Adapter> adapter(AdapterName name) {
        return Optional.ofNullable(adapters.get(name));
    }

    /**
     * Returns the route for a call. If several path prefixes match, the longest one is used. A prefix matches only
     * whole path segments.
     *
     * @param method the HTTP method
     * @param path the path of the call
     * @return the route, or empty if no route matches
     */
    public Optional<Route> route(String method, String path) {
        for (Route route : routesByPath) {
            if (route.method().equals(method) && isPathPrefix(route.path(), path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the teams.
     *
     * @return an unmodifiable view, in no particular order
     */
    public Collection<Team> teams() {
        return Collections.unmodifiableCollection(teams.values());
    }

    /**
     * Returns the keys.
     *
     * @return an unmodifiable view, in no particular order
     */
    public Collection<ApiKey> keys() {
        return Collections.unmodifiableCollection(keysById.values());
    }

    /**
     * Returns the models.
     *
     * @return an unmodifiable view, in no particular order
     */
    public Collection<Model> models() {
        return Collections.unmodifiableCollection(models.values());
    }

    /**
     * Returns the adapters.
     *
     * @return an unmodifiable view, in no particular order
     */
    public Collection<Adapter> adapters() {
        return Collections.unmodifiableCollection(adapters.values());
    }

    /**
     * Returns the routes.
     *
     * @return an unmodifiable view, in no particular order
     */
    public Collection<Route> routes() {
        return Collections.unmodifiableCollection(routes.values());
    }

    /**
     * Returns the settings that apply to the whole fleet.
     *
     * @return the settings, with defaults for parts that no operator has set
     */
    public FleetSettings settings() {
        return settings;
    }

    /**
     * Returns the content as a document, with each list sorted by name or identifier.
     *
     * @return the document
     */
    public ConfigurationDocument toDocument() {
        return new ConfigurationDocument(
                teams.values().stream().sorted(Comparator.comparing(Team::name)).toList(),
                keysById.values().stream()
                        .sorted(Comparator.comparing(ApiKey::id))
                        .toList(),
                models.values().stream()
                        .sorted(Comparator.comparing(Model::name))
                        .toList(),
                adapters.values().stream()
                        .sorted(Comparator.comparing(Adapter::name))
                        .toList(),
                routes.values().stream()
                        .sorted(Comparator.comparing(Route::name))
                        .toList(),
                withSortedOpeningHours(settings));
    }

    private static FleetSettings withSortedOpeningHours(FleetSettings settings) {
        return new FleetSettings(
                settings.admission(),
                settings.weightStore(),
                settings.openingHours().stream()
                        .sorted(Comparator.comparing(OpeningHours::group))
                        .toList());
    }

    private static boolean isPathPrefix(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }
}
