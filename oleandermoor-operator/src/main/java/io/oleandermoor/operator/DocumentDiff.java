package io.oleandermoor.operator;

import io.oleandermoor.operator.ConfigurationListing.ListedKey;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.configuration.FleetSettings;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.OpeningHours;
import io.oleandermoor.state.configuration.Route;
import io.oleandermoor.state.configuration.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The changes that lead from the configuration in force to a document. Keys are compared only when the document lists
 * at least one key; otherwise the issued keys stay as they are, except that removing a team revokes its keys.
 */
public final class DocumentDiff {

    private final List<DiffEntry> entries;

    private DocumentDiff(List<DiffEntry> entries) {
        this.entries = List.copyOf(entries);
    }

    /**
     * One change and its description.
     *
     * @param change the change
     * @param description what it does, in one line without any hash of a key
     */
    public record DiffEntry(Change change, String description) {}

    /**
     * Compares a document with a configuration.
     *
     * @param wanted the document
     * @param inForce the configuration in force
     * @return the changes
     */
    public static DocumentDiff between(ConfigurationDocument wanted, Configuration inForce) {
        return between(wanted, ConfigurationListing.of(inForce));
    }

    /**
     * Compares a document with the listing of a configuration.
     *
     * @param wanted the document
     * @param inForce the listing of the configuration in force
     * @return the changes
     */
    public static DocumentDiff between(ConfigurationDocument wanted, ConfigurationListing inForce) {
        Objects.requireNonNull(wanted, "wanted");
        ConfigurationDocument old = inForce.document();
        List<DiffEntry> entries = new ArrayList<>();
        compareSettings(wanted.settings(), old.settings(), entries);
        Elements<Model> models = new Elements<>(
                "model", model -> model.name().value(), Change.PutModel::new, m -> new Change.RemoveModel(m.name()));
        Elements<Adapter> adapters = new Elements<>(
                "adapter",
                adapter -> adapter.name().value(),
                Change.PutAdapter::new,
                a -> new Change.RemoveAdapter(a.name()));
        Elements<Team> teams = new Elements<>(
                "team", team -> team.name().value(), Change.PutTeam::new, t -> new Change.RemoveTeam(t.name()));
        Elements<Route> routes = new Elements<>(
                "route", route -> route.name().value(), Change.PutRoute::new, r -> new Change.RemoveRoute(r.name()));
        Elements<OpeningHours> hours = new Elements<>(
                "opening hours",
                OpeningHours::group,
                Change.PutOpeningHours::new,
                h -> new Change.RemoveOpeningHours(h.group()));
        models.puts(wanted.models(), old.models(), entries);
        adapters.puts(wanted.adapters(), old.adapters(), entries);
        teams.puts(wanted.teams(), old.teams(), entries);
        routes.puts(wanted.routes(), old.routes(), entries);
        compareKeys(wanted, inForce, entries);
        routes.removals(wanted.routes(), old.routes(), entries);
        adapters.removals(wanted.adapters(), old.adapters(), entries);
        models.removals(wanted.models(), old.models(), entries);
        teams.removals(wanted.teams(), old.teams(), entries);
        hours.puts(wanted.settings().openingHours(), afterRemovals(wanted, old), entries);
        hours.removals(wanted.settings().openingHours(), old.settings().openingHours(), entries);
        return new DocumentDiff(entries);
    }

    /**
     * Returns the changes.
     *
     * @return the changes, in an order in which they can be applied
     */
    public List<Change> changes() {
        return entries.stream().map(DiffEntry::change).toList();
    }

    /**
     * Returns the changes with their descriptions.
     *
     * @return the entries, in the order of {@link #changes}
     */
    public List<DiffEntry> entries() {
        return entries;
    }

    /**
     * Returns whether the document is in force already.
     *
     * @return true if there is nothing to change
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns one line for each change, or a line that says that there is none. */
    @Override
    public String toString() {
        return entries.isEmpty()
                ? "no changes"
                : entries.stream().map(DiffEntry::description).collect(Collectors.joining("\n"));
    }

    private static void compareSettings(FleetSettings wanted, FleetSettings old, List<DiffEntry> entries) {
        if (!wanted.admission().equals(old.admission())) {
            entries.add(new DiffEntry(
                    new Change.PutAdmission(wanted.admission()),
                    "change admission: " + FieldComparison.describe(old.admission(), wanted.admission())));
        }
        if (!wanted.weightStore().equals(old.weightStore())) {
            entries.add(new DiffEntry(
                    new Change.PutWeightStore(wanted.weightStore()),
                    "change weight store: " + FieldComparison.describe(old.weightStore(), wanted.weightStore())));
        }
    }

    private static void compareKeys(
            ConfigurationDocument wanted, ConfigurationListing inForce, List<DiffEntry> entries) {
        if (wanted.keys().isEmpty()) {
            return;
        }
        Map<String, ApiKey> wantedKeys = new HashMap<>();
        wanted.keys().forEach(key -> wantedKeys.put(key.id(), key));
        Set<String> kept = new HashSet<>();
        for (ListedKey listed : inForce.keys()) {
            ApiKey key = wantedKeys.get(listed.id());
            if (key != null && listed.matches(key)) {
                kept.add(listed.id());
            } else {
                entries.add(new DiffEntry(
                        new Change.RevokeKey(listed.id()), "revoke key " + listed.id() + " of team " + listed.team()));
            }
        }
        for (ApiKey key : wanted.keys()) {
            if (!kept.contains(key.id())) {
                entries.add(
                        new DiffEntry(new Change.IssueKey(key), "issue key " + key.id() + " to team " + key.team()));
            }
        }
    }

    /** Returns the opening hours in force as they are once the removed teams have left their groups. */
    private static List<OpeningHours> afterRemovals(ConfigurationDocument wanted, ConfigurationDocument old) {
        Predicate<Object> staysDefined =
                name -> wanted.teams().stream().anyMatch(team -> team.name().equals(name));
        return old.settings().openingHours().stream()
                .map(hours -> new OpeningHours(
                        hours.group(),
                        hours.teams().stream().filter(staysDefined).toList(),
                        hours.opens(),
                        hours.closes(),
                        hours.zone(),
                        hours.closedDays()))
                .toList();
    }

    /** Compares the elements of one list by name. */
    private record Elements<T>(
            String kind, Function<T, String> name, Function<T, Change> put, Function<T, Change> remove) {

        void puts(List<T> wanted, List<T> old, List<DiffEntry> entries) {
            Map<String, T> present = byName(old);
            for (T element : wanted) {
                Optional<T> previous = Optional.ofNullable(present.get(name.apply(element)));
                if (previous.isEmpty()) {
                    entries.add(new DiffEntry(put.apply(element), "add " + kind + " " + name.apply(element)));
                } else if (!previous.get().equals(element)) {
                    entries.add(new DiffEntry(
                            put.apply(element),
                            "change " + kind + " " + name.apply(element) + ": "
                                    + FieldComparison.describe(previous.get(), element)));
                }
            }
        }

        void removals(List<T> wanted, List<T> old, List<DiffEntry> entries) {
            Map<String, T> kept = byName(wanted);
            for (T element : old) {
                if (!kept.containsKey(name.apply(element))) {
                    String consequence = element instanceof Team ? " and revoke its keys" : "";
                    entries.add(new DiffEntry(
                            remove.apply(element), "remove " + kind + " " + name.apply(element) + consequence));
                }
            }
        }

        private Map<String, T> byName(List<T> list) {
            Map<String, T> result = new LinkedHashMap<>();
            list.forEach(element -> result.put(name.apply(element), element));
            return result;
        }
    }
}
