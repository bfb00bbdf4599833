package io.oleandermoor.command;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/** The roles that {@code oleandermoor run} can start. Immutable and safe for use by several threads. */
public final class DaemonRegistry {

    private final SortedMap<String, DaemonLauncher> launchers;

    /**
     * Creates a registry.
     *
     * @param launchers the launchers, at most one for each role
     */
    public DaemonRegistry(List<DaemonLauncher> launchers) {
        SortedMap<String, DaemonLauncher> byRole = new TreeMap<>();
        for (DaemonLauncher launcher : launchers) {
            if (byRole.put(launcher.schema().role(), launcher) != null) {
                throw new IllegalArgumentException("role " + launcher.schema().role() + " has two launchers");
            }
        }
        this.launchers = Collections.unmodifiableSortedMap(byRole);
    }

    /**
     * Returns the launchers of this distribution.
     *
     * @return the registry
     */
    public static DaemonRegistry standard() {
        return new DaemonRegistry(RoleLaunchers.all());
    }

    /**
     * Returns the launcher of a role.
     *
     * @param role the name of the role
     * @return the launcher, or empty if the role cannot be started
     */
    public Optional<DaemonLauncher> launcher(String role) {
        return Optional.ofNullable(launchers.get(role));
    }

    /**
     * Returns the roles that can be started.
     *
     * @return the names in alphabetical order
     */
    public SortedSet<String> roles() {
        return new TreeSet<>(launchers.keySet());
    }
}
