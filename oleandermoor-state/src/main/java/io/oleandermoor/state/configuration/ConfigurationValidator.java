package io.oleandermoor.state.configuration;

import io.oleandermoor.state.finding.Findings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Validates the values of a configuration document and the references between its elements. */
public final class ConfigurationValidator {

    private ConfigurationValidator() {}

    /**
     * Validates a document and adds a finding for each problem.
     *
     * @param document the document
     * @param findings receives the problems, with the path of the invalid value as place
     */
    public static void validate(ConfigurationDocument document, Findings findings) {
        checkUnique("teams", document.teams(), Team::name, findings);
        checkUnique("keys", document.keys(), ApiKey::id, findings);
        checkUnique("models", document.models(), Model::name, findings);
        checkUnique("adapters", document.adapters(), Adapter::name, findings);
        checkUnique("routes", document.routes(), Route::name, findings);
        checkTeams(document, findings);
        checkKeys(document, findings);
        checkModels(document, findings);
        checkAdapters(document, findings);
        checkRoutes(document, findings);
        FleetSettingsValidator.validate(document, findings);
    }

    static <T, K> void checkUnique(String listName, List<T> elements, Function<T, K> keyExtractor, Findings findings) {
        Set<K> seen = new HashSet<>();
        for (int index = 0; index < elements.size(); index++) {
            K key = keyExtractor.apply(elements.get(index));
            if (!seen.add(key)) {
                findings.error(elementPlace(listName, index), "'" + key + "' is defined more than once");
            }
        }
    }

    private static void checkTeams(ConfigurationDocument document, Findings findings) {
        for (int index = 0; index < document.teams().size(); index++) {
            Team team = document.teams().get(index);
            String place = elementPlace("teams", index);
            checkPositive(place + ".rate", team.rate(), findings);
            checkPositive(place + ".burst", team.burst(), findings);
            checkPositive(place + ".weight", team.weight(), findings);
        }
    }

    private static void checkKeys(ConfigurationDocument document, Findings findings) {
        Set<Object> definedTeams = new HashSet<>();
        document.teams().forEach(team -> definedTeams.add(team.name()));
        Set<Object> hashes = new HashSet<>();
        for (int index = 0; index < document.keys().size(); index++) {
            ApiKey key = document.keys().get(index);
            if (!definedTeams.contains(key.team())) {
                findings.error(elementPlace("keys", index) + ".team", "team '" + key.team() + "' is not defined");
            }
            if (!hashes.add(key.hash())) {
                findings.error(elementPlace("keys", index) + ".hash", "another key has the same hash");
            }
        }
    }

    private static void checkModels(ConfigurationDocument document, Findings findings) {
        for (int index = 0; index < document.models().size(); index++) {
            Model model = document.models().get(index);
            String place = elementPlace("models", index);
            checkPositive(place + ".memoryMegabytes", model.memoryMegabytes(), findings);
            checkPositive(place + ".minimumCopies", model.minimumCopies(), findings);
        }
    }

    private static void checkAdapters(ConfigurationDocument document, Findings findings) {
        Set<Object> definedModels = new HashSet<>();
        document.models().forEach(model -> definedModels.add(model.name()));
        Set<String> definedModelNames = new HashSet<>();
        document.models().forEach(model -> definedModelNames.add(model.name().value()));
        for (int index = 0; index < document.adapters().size(); index++) {
            Adapter adapter = document.adapters().get(index);
            String place = elementPlace("adapters", index);
            checkPositive(place + ".memoryMegabytes", adapter.memoryMegabytes(), findings);
            if (!definedModels.contains(adapter.model())) {
                findings.error(place + ".model", "model '" + adapter.model() + "' is not defined");
            }
            if (definedModelNames.contains(adapter.name().value())) {
                findings.error(place + ".name", "'" + adapter.name() + "' is also the name of a model");
            }
        }
    }

    private static void checkRoutes(ConfigurationDocument document, Findings findings) {
        Set<String> methodsAndPaths = new HashSet<>();
        for (int index = 0; index < document.routes().size(); index++) {
            Route route = document.routes().get(index);
            String place = elementPlace("routes", index);
            if (!route.path().startsWith("/")) {
                findings.error(place + ".path", "'" + route.path() + "' must start with a slash");
            }
            if (route.path().startsWith("/v1/")) {
                findings.error(place + ".path", "'" + route.path() + "' is reserved for models");
            }
            if (!route.method().matches("[A-Z]+")) {
                findings.error(place + ".method", "'" + route.method() + "' must be an HTTP method in upper case");
            }
            if (!methodsAndPaths.add(route.method() + " " + route.path())) {
                findings.error(place, "another route has the same method and path");
            }
            checkMaximumBodyBytes(place, route, findings);
            checkIdempotencyKey(place, route, findings);
        }
    }

    private static void checkMaximumBodyBytes(String place, Route route, Findings findings) {
        if (route.maximumBodyBytes() < 0 || route.maximumBodyBytes() > Route.MAXIMUM_BODY_BYTES_LIMIT) {
            findings.error(
                    place + ".maximumBodyBytes",
                    "must be from 1 to " + Route.MAXIMUM_BODY_BYTES_LIMIT + " but is " + route.maximumBodyBytes());
        }
    }

    private static void checkIdempotencyKey(String place, Route route, Findings findings) {
        if (!route.idempotencyKeyRequired()) {
            return;
        }
        if (!route.access().isKeyRequired()) {
            findings.error(
                    place + ".idempotencyKeyRequired",
                    "an open route cannot require an idempotency key, because an idempotency record belongs to a team");
        }
        if (route.repeatability().isRetryAllowed()) {
            findings.warning(place + ".idempotencyKeyRequired", "has no effect on a route whose calls may be retried");
        }
    }

    static void checkPositive(String place, long value, Findings findings) {
        if (value <= 0) {
            findings.error(place, "must be positive but is " + value);
        }
    }

    static String elementPlace(String listName, int index) {
        return listName + "[" + index + "]";
    }
}
