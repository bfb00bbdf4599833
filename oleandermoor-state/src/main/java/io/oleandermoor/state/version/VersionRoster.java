package io.oleandermoor.state.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The software versions of each service that are in use, or were a short time ago, as the store records them and as the
 * instances state them. A stated version is recorded before a stream begins at it, and stays recorded for longer than a
 * stream lasts after its last instance has left. So if only one is recorded, it began every stream. Not thread-safe.
 */
public final class VersionRoster implements VersionPolicy {

    private final Map<String, Map<SoftwareVersion, Use>> recorded = new HashMap<>();
    private Map<String, Set<SoftwareVersion>> present = Map.of();
    /** The services with a stated version, which is asked for each candidate of each choice. */
    private final Set<String> statingServices = new HashSet<>();

    private boolean loaded;
    private long changeCount;

    /** How a version of a service is used. */
    public enum Use {
        /** At least one instance states it. */
        IN_USE,
        /** Its instances have left; streams that they began may still go on. */
        LEFT
    }

    /**
     * A record of a version.
     *
     * @param service the service
     * @param version the version
     * @param use how it is used
     */
    public record UsedVersion(String service, SoftwareVersion version, Use use) {}

    /** Returns how often the versions have changed, which tells whether conclusions from them still hold. */
    public long changeCount() {
        return changeCount;
    }

    /** Replaces all records by those that the store has. */
    public void replaceRecorded(Collection<UsedVersion> items) {
        Map<String, Map<SoftwareVersion, Use>> replacement = new HashMap<>();
        items.forEach(item -> replacement
                .computeIfAbsent(item.service(), service -> new HashMap<>())
                .put(item.version(), item.use()));
        if (loaded && replacement.equals(recorded)) {
            return;
        }
        loaded = true;
        changeCount++;
        Set<String> changed = new HashSet<>(recorded.keySet());
        changed.addAll(replacement.keySet());
        recorded.clear();
        recorded.putAll(replacement);
        changed.forEach(this::updateStating);
    }

    /** Adds or replaces a record that the store has. */
    public void record(UsedVersion item) {
        Map<SoftwareVersion, Use> versions = recorded.computeIfAbsent(item.service(), service -> new HashMap<>());
        if (versions.put(item.version(), item.use()) != item.use()) {
            changeCount++;
            updateStating(item.service());
        }
    }

    /** Removes a record that the store no longer has. */
    public void removeRecord(String service, SoftwareVersion version) {
        Map<SoftwareVersion, Use> versions = recorded.get(service);
        if (versions != null && versions.remove(version) != null) {
            if (versions.isEmpty()) {
                recorded.remove(service);
            }
            changeCount++;
            updateStating(service);
        }
    }

    /** Replaces the versions that instances state, by service. */
    public void setPresent(Map<String, Set<SoftwareVersion>> versions) {
        if (versions.equals(present)) {
            return;
        }
        changeCount++;
        Set<String> changed = new HashSet<>(present.keySet());
        present = Map.copyOf(versions);
        changed.addAll(present.keySet());
        changed.forEach(this::updateStating);
    }

    private void updateStating(String service) {
        if (versions(service).stream().anyMatch(SoftwareVersion::isStated)) {
            statingServices.add(service);
        } else {
            statingServices.remove(service);
        }
    }

    private Set<SoftwareVersion> versions(String service) {
        Set<SoftwareVersion> all =
                new HashSet<>(recorded.getOrDefault(service, Map.of()).keySet());
        all.addAll(present.getOrDefault(service, Set.of()));
        return all;
    }

    private boolean statesVersions(String service) {
        return statingServices.contains(service);
    }

    private boolean isInUse(String service, SoftwareVersion version) {
        return recorded.getOrDefault(service, Map.of()).get(version) == Use.IN_USE;
    }

    /** The record of a version that has left may end before streams that begin now. */
    @Override
    public boolean mayBegin(String service, SoftwareVersion candidate) {
        boolean needsNoRecord = !candidate.isStated() && !statesVersions(service);
        return needsNoRecord || isInUse(service, candidate);
    }

    /** An instance that states no version fits only where no instance of the service states one. */
    @Override
    public boolean mayGoOn(String service, SoftwareVersion begun, SoftwareVersion candidate) {
        return candidate.equals(begun) && (begun.isStated() || !statesVersions(service));
    }

    /** Returns whether streams of a service may have been begun by different versions. */
    public boolean hasSeveralVersions(String service) {
        return versions(service).size() > 1;
    }

    /** Returns the version that began every stream of a service, if there is only one. */
    public Optional<SoftwareVersion> soleVersion(String service) {
        Set<SoftwareVersion> all = versions(service);
        return loaded && all.size() == 1 ? Optional.of(all.iterator().next()) : Optional.empty();
    }

    /**
     * Returns the records that the store lacks: of versions that instances state, and of those that no instance states
     * any more. A service whose instances state no versions needs none.
     */
    public List<UsedVersion> missingRecords() {
        List<UsedVersion> missing = new ArrayList<>();
        if (!loaded) {
            return missing;
        }
        present.forEach((service, versions) -> {
            if (statesVersions(service)) {
                versions.forEach(version -> addIfMissing(missing, new UsedVersion(service, version, Use.IN_USE)));
            }
        });
        recorded.forEach((service, versions) -> versions.keySet().stream()
                .filter(version -> !present.getOrDefault(service, Set.of()).contains(version))
                .forEach(version -> addIfMissing(missing, new UsedVersion(service, version, Use.LEFT))));
        return missing;
    }

    private void addIfMissing(List<UsedVersion> missing, UsedVersion item) {
        if (recorded.getOrDefault(item.service(), Map.of()).get(item.version()) != item.use()) {
            missing.add(item);
        }
    }

    /** Returns whether the store lacks a record. */
    public boolean isMissing(UsedVersion item) {
        return missingRecords().contains(item);
    }
}
