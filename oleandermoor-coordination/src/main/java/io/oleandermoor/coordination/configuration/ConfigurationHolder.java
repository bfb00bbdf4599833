package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.finding.InvalidInputException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The configuration in force in this process. Its version never decreases. Changes are applied in order; a change that
 * arrives before its predecessors waits for them.
 *
 * <p>Thread-safe. The lock has position 1 in the lock order; listeners run outside it.
 */
public final class ConfigurationHolder {

    /** Bounds the memory of waiting changes; a process that far behind reads the whole configuration. */
    private static final int MAXIMUM_WAITING = 1024;

    private static final Logger LOG = LogManager.getLogger(ConfigurationHolder.class);

    private final Object lock = new Object();
    private final TreeMap<Long, ChangeSet> waiting = new TreeMap<>();
    private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
    private final Queue<Configuration> toReport = new ArrayDeque<>();
    private volatile Configuration inForce = Configuration.empty();
    private Configuration reported = Configuration.empty();
    private boolean reporting;
    /** Last version that was tried. While it is not in force it is missing. */
    private long lastTried;

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, version 0 before the first was received
     */
    public Configuration configuration() {
        return inForce;
    }

    /**
     * Adds a listener for later versions.
     *
     * @param listener the listener
     */
    public void addListener(ConfigurationListener listener) {
        listeners.add(listener);
    }

    /**
     * Offers a whole configuration.
     *
     * @param configuration the configuration
     * @return true if it is later than the one in force and replaced it
     */
    public boolean offer(Configuration configuration) {
        synchronized (lock) {
            if (configuration.version() <= inForce.version()) {
                return false;
            }
            toReport.add(configuration);
            applyWaiting(configuration);
        }
        report();
        return true;
    }

    /**
     * Offers one accepted change.
     *
     * @param change the change
     * @return true if a later version is now in force; false if the change is old or waits for others
     */
    public boolean offer(VersionedChange change) {
        boolean changed;
        InvalidInputException failure = null;
        synchronized (lock) {
            long before = inForce.version();
            if (change.version() > before) {
                waiting.put(change.version(), change.changeSet());
                if (waiting.size() > MAXIMUM_WAITING) {
                    waiting.pollLastEntry();
                }
                failure = applyWaiting(inForce).orElse(null);
            }
            changed = inForce.version() > before;
        }
        if (failure != null) {
            LOG.error("event=change-not-applicable version={} error=\"{}\"", change.version(), failure.getMessage());
        }
        report();
        return changed;
    }

    /**
     * Returns the versions that are missing before a waiting change can be applied.
     *
     * @return the range to ask for, or empty if no change waits
     */
    public Optional<VersionRange> missing() {
        synchronized (lock) {
            long first = inForce.version() + 1;
            long last = Math.max(lastTried, waiting.isEmpty() ? 0 : waiting.firstKey() - 1);
            return last < first ? Optional.empty() : Optional.of(new VersionRange(first, last));
        }
    }

    /**
     * Puts a configuration in force after applying the changes that wait for it. Other threads see only the result.
     *
     * @return why a change cannot be applied; it is dropped, so that its version is missing and is read as a whole
     */
    private Optional<InvalidInputException> applyWaiting(Configuration start) {
        Configuration current = start;
        Optional<InvalidInputException> failure = Optional.empty();
        waiting.headMap(current.version(), true).clear();
        for (Map.Entry<Long, ChangeSet> next = waiting.firstEntry();
                failure.isEmpty() && next != null && next.getKey() == current.version() + 1;
                next = waiting.firstEntry()) {
            waiting.pollFirstEntry();
            lastTried = next.getKey();
            try {
                current = current.apply(next.getValue());
                toReport.add(current);
            } catch (InvalidInputException exception) {
                failure = Optional.of(exception);
            }
        }
        inForce = current;
        return failure;
    }

    /** Reports in order: one thread reports at a time, and takes what others add meanwhile. */
    private void report() {
        synchronized (lock) {
            if (reporting) {
                return;
            }
            reporting = true;
        }
        while (true) {
            Configuration previous;
            Configuration current;
            synchronized (lock) {
                Configuration next = toReport.poll();
                if (next == null) {
                    reporting = false;
                    return;
                }
                previous = reported;
                reported = next;
                current = next;
            }
            for (ConfigurationListener listener : listeners) {
                try {
                    listener.changed(previous, current);
                } catch (RuntimeException failure) {
                    LOG.error("event=configuration-listener-failed error=\"{}\"", failure.toString(), failure);
                }
            }
        }
    }
}
