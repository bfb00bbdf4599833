package io.oleandermoor.gateway.view;

import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.share.SharedBucket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** What this entry believes about its deployment. Used on the event loop only. */
public final class DeploymentView {

    private static final Logger LOG = LogManager.getLogger(DeploymentView.class);
    /** Reports in a row without which another entry counts as silent. */
    private static final long SILENCE_REPORT_INTERVALS = 4;
    /** What a report may be late. */
    private static final long REPORT_DELAY_TOLERANCE_MILLIS = 50;

    private final String entry;
    private final InstanceTable instances;
    private final Map<String, SharedBucket> buckets = new HashMap<>();
    private final Map<String, Long> lastReportMillisByPeer = new HashMap<>();
    private final Set<String> silentPeers = new HashSet<>();
    private final List<Runnable> changeListeners = new ArrayList<>();
    private Set<String> peers = Set.of();
    private @Nullable FleetDocument document;
    private @Nullable Timestamp confirmedAt;
    private boolean peersKnown;
    private long reportIntervalMillis = 100;
    private boolean startupBalancesSettled;
    private long firstDocumentMillis;
    private boolean instancesLoaded;
    private boolean entryRegistered;
    private boolean stopping;
    private boolean givesOrders;

    /**
     * Creates a view that knows nothing yet.
     *
     * @param entry the name of this entry
     * @param instances the table of instances
     */
    public DeploymentView(String entry, InstanceTable instances) {
        this.entry = entry;
        this.instances = instances;
    }

    /** Returns the name of this entry. */
    public String entry() {
        return entry;
    }

    /** Returns the instances. */
    public InstanceTable instances() {
        return instances;
    }

    /** Returns the configuration in force. */
    public Optional<FleetDocument> document() {
        return Optional.ofNullable(document);
    }

    /** Adds an action that runs after what is believed has changed. */
    public void addChangeListener(Runnable listener) {
        changeListeners.add(listener);
    }

    /** Runs the actions that wait for a change. */
    public void notifyChangeListeners() {
        changeListeners.forEach(Runnable::run);
    }

    /** Puts a version in force, unless a later one is. */
    public boolean applyDocument(FleetDocument next) {
        if (document != null && next.version() <= document.version()) {
            return false;
        }
        long now = Timestamp.monotonicNowMillis();
        if (document == null) {
            firstDocumentMillis = now;
        }
        document = next;
        Set<String> limited = new HashSet<>();
        for (TeamLimits team : next.teams()) {
            if (team.limited()) {
                limited.add(team.name());
                buckets.computeIfAbsent(team.name(), name -> new SharedBucket(team.ratePerSecond(), team.burst(), now))
                        .configure(team.ratePerSecond(), team.burst());
            }
        }
        buckets.keySet().retainAll(limited);
        notifyChangeListeners();
        return true;
    }

    /** Records that the configuration in force was the newest one at a moment. */
    public void confirmDocument(Timestamp moment) {
        confirmedAt = moment;
    }

    /** Returns the time since the configuration was last known to be the newest one. */
    public long confirmationAgeMillis() {
        return confirmedAt == null ? Long.MAX_VALUE : confirmedAt.ageMillis();
    }

    /** Records that the instances have been read. */
    public void markInstancesLoaded() {
        instancesLoaded = true;
    }

    /** Records whether this entry is registered. */
    public void setRegistered(boolean registered) {
        entryRegistered = registered;
    }

    /** Returns whether this entry is registered. */
    public boolean isRegistered() {
        return entryRegistered;
    }

    /** Records whether this entry gives orders to engines. */
    public void givesOrders(boolean holder) {
        givesOrders = holder;
    }

    /** Returns whether this entry gives orders to engines. */
    public boolean givesOrders() {
        return givesOrders;
    }

    /** Records that the process is about to end. */
    public void markStopping() {
        stopping = true;
    }

    /** Returns whether the process is about to end. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns whether requests can be served: everything has been read, and keys are confirmed. */
    public boolean canServe(long keyLimitMillis) {
        return document != null && instancesLoaded && entryRegistered && confirmationAgeMillis() < keyLimitMillis;
    }

    /** Replaces the other registered entries. */
    public void setPeers(Set<String> names) {
        peers = Set.copyOf(names);
        peersKnown = true;
        lastReportMillisByPeer.keySet().retainAll(names);
        updateSilentPeers();
        buckets.values().forEach(bucket -> bucket.retain(names));
        instances.retainPeers(names);
    }

    /** Records the interval at which each other entry reports. */
    public void setReportInterval(long millis) {
        reportIntervalMillis = millis;
    }

    /** Records a report of another entry. */
    public void recordReport(String peer) {
        lastReportMillisByPeer.put(peer, Timestamp.monotonicNowMillis());
        silentPeers.remove(peer);
    }

    /**
     * Settles what the buckets hold at the start. If all entries started together, nobody granted anything while they
     * were down, so what accrued between the start of this process and its first configuration is there; with an older
     * entry among them that one may have granted it.
     *
     * @param olderPeer whether an entry has been heard that started before this one
     */
    public void settleStartupBalances(boolean olderPeer) {
        if (startupBalancesSettled || document == null || !entryRegistered || !peersKnown) {
            return;
        }
        if (olderPeer) {
            startupBalancesSettled = true;
        } else if (silentPeers().isEmpty()) {
            startupBalancesSettled = true;
            long down = firstDocumentMillis - Timestamp.processStart().monotonicMillis();
            buckets.values().forEach(bucket -> bucket.accruedWhileDown(down));
            LOG.info("event=started_together entries={} accrued_ms={}", entryCount(), down);
        }
    }

    /** Returns the number of entries, this one included. */
    public int entryCount() {
        return peers.size() + 1;
    }

    /** Finds the registered entries that have not been heard lately; done at intervals, as it looks at each of them. */
    public Set<String> updateSilentPeers() {
        long now = Timestamp.monotonicNowMillis();
        long patience = SILENCE_REPORT_INTERVALS * reportIntervalMillis + REPORT_DELAY_TOLERANCE_MILLIS;
        silentPeers.clear();
        for (String peer : peers) {
            Long heard = lastReportMillisByPeer.get(peer);
            if (heard == null || now - heard > patience) {
                silentPeers.add(peer);
            }
        }
        return silentPeers();
    }

    /** Returns the registered entries that had not been heard at the last look, nor since. */
    public Set<String> silentPeers() {
        return Set.copyOf(silentPeers);
    }

    /** Returns the bucket of a team; empty if the team has no rate. */
    public Optional<SharedBucket> bucket(String team) {
        return Optional.ofNullable(buckets.get(team));
    }

    /** Returns all buckets by team. */
    public Map<String, SharedBucket> buckets() {
        return buckets;
    }

    /** Adds to the buckets what has accrued. */
    public void refillBuckets() {
        long now = Timestamp.monotonicNowMillis();
        buckets.values().forEach(bucket -> bucket.refill(now, silentPeers, entryCount()));
    }
}
