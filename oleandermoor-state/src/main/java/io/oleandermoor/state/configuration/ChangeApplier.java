package io.oleandermoor.state.configuration;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Applies changes to a configuration document and reports those that do not fit its content. */
final class ChangeApplier {

    private final List<Team> teams;
    private final List<ApiKey> keys;
    private final List<Model> models;
    private final List<Adapter> adapters;
    private final List<Route> routes;
    private final List<OpeningHours> openingHours;
    private AdmissionSettings admission;
    private WeightStoreLimits weightStore;

    private ChangeApplier(ConfigurationDocument document) {
        teams = new ArrayList<>(document.teams());
        keys = new ArrayList<>(document.keys());
        models = new ArrayList<>(document.models());
        adapters = new ArrayList<>(document.adapters());
        routes = new ArrayList<>(document.routes());
        openingHours = new ArrayList<>(document.settings().openingHours());
        admission = document.settings().admission();
        weightStore = document.settings().weightStore();
    }

    static ConfigurationDocument apply(ConfigurationDocument document, List<Change> changes, Findings findings) {
        ChangeApplier applier = new ChangeApplier(document);
        for (int index = 0; index < changes.size(); index++) {
            applier.apply(changes.get(index), "changes[" + index + "]", findings);
        }
        return applier.toDocument();
    }

    private ConfigurationDocument toDocument() {
        return new ConfigurationDocument(
                teams, keys, models, adapters, routes, new FleetSettings(admission, weightStore, openingHours));
    }

    private void apply(Change change, String place, Findings findings) {
        if (change instanceof Change.PutTeam put) {
            replace(teams, put.team(), team -> team.name().equals(put.team().name()));
        } else if (change instanceof Change.RemoveTeam remove) {
            remove(teams, team -> team.name().equals(remove.team()), place, "team '" + remove.team() + "'", findings);
            keys.removeIf(key -> key.team().equals(remove.team()));
            openingHours.replaceAll(hours -> withoutTeam(remove.team(), hours));
        } else if (change instanceof Change.IssueKey issue) {
            issueKey(issue.key(), place, findings);
        } else if (change instanceof Change.RevokeKey revoke) {
            remove(keys, key -> key.id().equals(revoke.keyId()), place, "key '" + revoke.keyId() + "'", findings);
        } else if (change instanceof Change.PutModel put) {
            replace(
                    models,
                    put.model(),
                    model -> model.name().equals(put.model().name()));
        } else if (change instanceof Change.RemoveModel remove) {
            remove(
                    models,
                    model -> model.name().equals(remove.model()),
                    place,
                    "model '" + remove.model() + "'",
                    findings);
        } else if (change instanceof Change.PutAdapter put) {
            replace(
                    adapters,
                    put.adapter(),
                    adapter -> adapter.name().equals(put.adapter().name()));
        } else if (change instanceof Change.RemoveAdapter remove) {
            remove(
                    adapters,
                    adapter -> adapter.name().equals(remove.adapter()),
                    place,
                    "adapter '" + remove.adapter() + "'",
                    findings);
        } else if (change instanceof Change.PutRoute put) {
            replace(
                    routes,
                    put.route(),
                    route -> route.name().equals(put.route().name()));
        } else if (change instanceof Change.RemoveRoute remove) {
            remove(
                    routes,
                    route -> route.name().equals(remove.route()),
                    place,
                    "route '" + remove.route() + "'",
                    findings);
        } else {
            applySettings(change, place, findings);
        }
    }

    private void applySettings(Change change, String place, Findings findings) {
        if (change instanceof Change.PutAdmission put) {
            admission = put.admission();
        } else if (change instanceof Change.PutWeightStore put) {
            weightStore = put.weightStore();
        } else if (change instanceof Change.PutOpeningHours put) {
            replace(
                    openingHours,
                    put.openingHours(),
                    hours -> hours.group().equals(put.openingHours().group()));
        } else if (change instanceof Change.RemoveOpeningHours remove) {
            remove(
                    openingHours,
                    hours -> hours.group().equals(remove.group()),
                    place,
                    "group '" + remove.group() + "'",
                    findings);
        } else {
            throw new IllegalArgumentException("unsupported change type: " + change.getClass());
        }
    }

    private void issueKey(ApiKey issued, String place, Findings findings) {
        if (keys.stream().anyMatch(key -> key.id().equals(issued.id()))) {
            findings.error(place, "key '" + issued.id() + "' already exists");
            return;
        }
        keys.add(issued);
    }

    private static OpeningHours withoutTeam(TeamName team, OpeningHours hours) {
        return new OpeningHours(
                hours.group(),
                hours.teams().stream().filter(name -> !name.equals(team)).toList(),
                hours.opens(),
                hours.closes(),
                hours.zone(),
                hours.closedDays());
    }

    private static <T> void replace(List<T> list, T element, Predicate<T> isReplaced) {
        list.removeIf(isReplaced);
        list.add(element);
    }

    private static <T> void remove(
            List<T> list, Predicate<T> isRemoved, String place, String elementDescription, Findings findings) {
        if (!list.removeIf(isRemoved)) {
            findings.error(place, elementDescription + " does not exist");
        }
    }
}
