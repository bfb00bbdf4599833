package io.oleandermoor.gateway.view;

import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.share.SharedTokenBucket;
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
public final class FleetView {

    private static final Logger LOG = LogManager.getLogger(FleetView.class);
    /** Reports in a row without which another entry counts as silent. */
    private static final long SILENT_REPORTS = 4;
    /** What a report may be late. */
    private static final long REPORT_SLACK_MILLIS = 50;

    private final String entry;
    private final InstanceTable instances;
    private final Map<String, SharedTokenBucket> buckets = new HashMap<>();
    private final Map<String, Long> peersHeard = new HashMap<>();
    private final Set<String> silentPeers = new HashSet<>();
    private final List<Runnable> changeListeners = new ArrayList<>();
    private Set<String> peers = Set.of();
    private @Nullable FleetDocument document;
    private @Nullable Moment confirmed;
    private boolean peersKnown;
    private long reportRoundMillis = 100;
    private boolean startSettled;
    private long documentMillis;
    private boolean instancesKnown;
    private boolean member;
    private boolean stopping;
    private boolean givesOrders;

    /**
     * Creates a view that knows nothing yet.
     *
     * @param entry the name of this entry
     * @param instances the table of instances
     */
    public FleetView(String entry, InstanceTable instances) {
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
    public void onChange(Runnable listener) {
        changeListeners.add(listener);
    }

    /** Runs the actions that wait for a change. */
    public void changed() {
        changeListeners.forEach(Runnable::run);
    }

    /** Puts a version in force, unless a later one is. */
    public boolean put(FleetDocument next) {
        if (document != null && next.version() <= document.version()) {
            return false;
        }
        long now = Moment.steadyNow();
        if (document == null) {
            documentMillis = now;
        }
        document = next;
        Set<String> limited = new HashSet<>();
        for (TeamLimits team : next.teams()) {
            if (team.rateLimited()) {
                limited.add(team.name());
                buckets.computeIfAbsent(team.name(), name -> new SharedTokenBucket(team.ratePerSecond(), team.burst(), now))
                        .configure(team.ratePerSecond(), team.burst());
            }
        }
        buckets.keySet().retainAll(limited);
        changed();
        return true;
    }

    /** Records that the configuration in force was the newest one at a moment. */
    public void confirm(Moment moment) {
        confirmed = moment;
    }

    /** Returns the time since the configuration was last known to be the newest one. */
    public long confirmationAgeMillis() {
        return confirmed == null ? Long.MAX_VALUE : confirmed.ageMillis();
    }

    /** Records that the instances have been read. */
    public void instancesKnown() {
        instancesKnown = true;
    }

    /** Records whether this entry is registered. */
    public void member(boolean registered) {
        member = registered;
    }

    /** Returns whether this entry is registered. */
    public boolean isMember() {
        return member;
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
    public void stop() {
        stopping = true;
    }

    /** Returns whether the process is about to end. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns whether requests can be served: everything has been read, and keys are confirmed. */
    public boolean canServe(long keyLimitMillis) {
        return document != null && instancesKnown && member && confirmationAgeMillis() < keyLimitMillis;
    }

    /** Replaces the other registered entries. */
    public void peers(Set<String> names) {
        peers = Set.copyOf(names);
        peersKnown = true;
        peersHeard.keySet().retainAll(names);
        updateSilentPeers();
        buckets.values().forEach(bucket -> bucket.retainMembers(names));
        instances.retainPeers(names);
    }

    /** Records the interval at which each other entry reports. */
    public void reportRound(long millis) {
        reportRoundMillis = millis;
    }

    /** Records a report of another entry. */
    public void heard(String peer) {
        peersHeard.put(peer, Moment.steadyNow());
        silentPeers.remove(peer);
    }

    /**
     * Settles what the buckets hold at the start. If all entries started together, nobody granted anything while they
     * were down, so what accrued between the start of this process and its first configuration is there; with an older
     * entry among them that one may have granted it.
     *
     * @param olderPeer whether an entry has been heard that started before this one
     */
    public void settleStart(boolean olderPeer) {
        if (startSettled || document == null || !member || !peersKnown) {
            return;
        }
        if (olderPeer) {
            startSettled = true;
        } else if (silentPeers().isEmpty()) {
            startSettled = true;
            long down = documentMillis - Moment.processStart().steadyMillis();
            buckets.values().forEach(bucket -> bucket.refillForDowntime(down));
            LOG.info("event=started_together entries={} accrued_ms={}", entryCount(), down);
        }
    }

    /** Returns the number of entries, this one included. */
    public int entryCount() {
        return peers.size() + 1;
    }

    /** Finds the registered entries that have not been heard lately; done at intervals, as it looks at each of them. */
    public Set<String> updateSilentPeers() {
        long now = Moment.steadyNow();
        long patience = SILENT_REPORTS * reportRoundMillis + REPORT_SLACK_MILLIS;
        silentPeers.clear();
        for (String peer : peers) {
            Long heard = peersHeard.get(peer);
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
    public Optional<SharedTokenBucket> bucket(String team) {
        return Optional.ofNullable(buckets.get(team));
    }

    /** Returns all buckets by team. */
    public Map<String, SharedTokenBucket> buckets() {
        return buckets;
    }

    /** Adds to the buckets what has accrued. */
    public void refill() {
        long now = Moment.steadyNow();
        buckets.values().forEach(bucket -> bucket.refill(now, silentPeers, entryCount()));
    }
}
