package io.oleandermoor.gateway.view;

import io.oleandermoor.state.coldstart.ColdStartBounds;
import io.oleandermoor.state.coldstart.ColdStarts;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.restore.RestoreWindow;
import io.oleandermoor.state.restore.VersionConfirmation;
import io.oleandermoor.state.share.RejoiningReserve;
import io.oleandermoor.state.share.SharedTokenBucket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Holds what this entry knows about its deployment: the configuration in force, the instances, the other entries and
 * the rate buckets of teams. Used on the event loop only.
 */
public final class DeploymentView {

    private static final Logger LOG = LogManager.getLogger(DeploymentView.class);
    /** Number of report intervals without a report after which another entry counts as silent. */
    private static final long SILENCE_REPORT_INTERVALS = 4;
    /** Additional delay of a report that is tolerated before its sender counts as silent. */
    private static final long REPORT_DELAY_TOLERANCE_MILLIS = 50;

    private final String entry;
    private final InstanceTable instances;
    private final ColdStarts coldStarts;
    private final Map<String, SharedTokenBucket> buckets = new HashMap<>();
    private final Map<String, Long> lastReportMillisByPeer = new HashMap<>();
    private final Map<String, RejoiningReserve> rejoiningReserves = new HashMap<>();
    private final Set<String> silentPeers = new HashSet<>();
    private final List<Runnable> changeListeners = new ArrayList<>();
    private final RestoreWindow restoreWindow = new RestoreWindow();
    private final VersionConfirmation versions = new VersionConfirmation();
    private Set<String> peers = Set.of();
    private @Nullable FleetDocument document;
    private @Nullable Timestamp confirmedAt;
    private @Nullable Timestamp confirmedBeforeRestore;
    private boolean peersKnown;
    private long reportIntervalMillis = 100;
    private boolean startupBalancesSettled;
    private long firstDocumentMillis;
    private boolean instancesLoaded;
    private boolean entryRegistered;
    private @Nullable ShutdownSchedule shutdown;
    private boolean givesOrders;
    private boolean eraStated;

    /**
     * Creates a view without a configuration or other entries.
     *
     * @param entry the unique name of this entry
     * @param instances the table of instances
     */
    public DeploymentView(String entry, InstanceTable instances) {
        this(entry, instances, new ColdStarts(new ColdStartBounds(1, 0), new SplittableRandom(0)));
    }

    /**
     * Creates a view without a configuration or other entries.
     *
     * @param entry the unique name of this entry
     * @param instances the table of instances
     * @param coldStarts limits the requests to cold instances; added to the rules of the table
     */
    public DeploymentView(String entry, InstanceTable instances, ColdStarts coldStarts) {
        this.entry = entry;
        this.instances = instances;
        this.coldStarts = coldStarts;
        instances.addRule(coldStarts);
    }

    /** Returns the name of this entry. */
    public String entry() {
        return entry;
    }

    /** Returns the table of the instances that this entry knows. */
    public InstanceTable instances() {
        return instances;
    }

    /** Returns the rule that limits the requests to cold instances. */
    public ColdStarts coldStarts() {
        return coldStarts;
    }

    /** Returns the configuration in force. */
    public Optional<FleetDocument> document() {
        return Optional.ofNullable(document);
    }

    /** Adds a listener that runs after the configuration or the instances have changed. */
    public void addChangeListener(Runnable listener) {
        changeListeners.add(listener);
    }

    /** Runs all change listeners. The failure of one affects neither the others nor the change, which has been made. */
    public void notifyChangeListeners() {
        for (Runnable listener : changeListeners) {
            try {
                listener.run();
            } catch (RuntimeException cause) {
                LOG.error("event=change_listener_failed entry={}", entry, cause);
            }
        }
    }

    /** Puts a configuration in force if it is newer than the current one; returns whether it was. */
    public boolean applyDocument(FleetDocument candidate) {
        if (document != null && candidate.version() <= document.version()) {
            return false;
        }
        long nowMillis = Timestamp.monotonicNowMillis();
        if (document == null) {
            firstDocumentMillis = nowMillis;
        }
        document = candidate;
        coldStarts.configure(candidate.services(), nowMillis);
        Set<String> limited = new HashSet<>();
        for (TeamLimits team : candidate.teams()) {
            if (team.rateLimited()) {
                limited.add(team.name());
                buckets.computeIfAbsent(
                                team.name(),
                                name -> new SharedTokenBucket(team.ratePerSecond(), team.burst(), nowMillis))
                        .configure(team.ratePerSecond(), team.burst());
            }
        }
        buckets.keySet().retainAll(limited);
        rejoiningReserves.keySet().retainAll(limited);
        notifyChangeListeners();
        return true;
    }

    /**
     * Records that the configuration in force was the newest one in the store at a point in time. If the store states
     * an era, it does not count as confirmed while another entry has a newer one in force, which the store has lost or
     * this entry has not received yet.
     */
    public void confirmDocument(Timestamp timestamp) {
        if (!eraStated || document == null || versions.isNewestKnown(document.version())) {
            confirmedAt = timestamp;
        }
    }

    /** Records the version of the configuration that another entry has in force; 0 if it has none or states none. */
    public void recordPeerVersion(String peer, long version) {
        boolean newer = versions.recordReported(peer, version);
        boolean storeMayLackVersion = restoreWindow.isOpen(nowMillis()) || versions.isWaiting();
        if (newer && storeMayLackVersion && document != null && version > document.version()) {
            // What the restored store has confirmed may be older than what this entry would have read before.
            LOG.warn(
                    "event=configuration_superseded peer={} version={} in_force={} confirmation_age_ms={}",
                    peer,
                    version,
                    document.version(),
                    confirmationAgeMillis());
            confirmedAt = confirmedBeforeRestore;
        }
    }

    /** Records that the store states an era, so that it may be restored from a copy. */
    public void recordEraStated() {
        eraStated = true;
    }

    /**
     * Records that the store was restored from a copy.
     *
     * @param seen whether this entry has used the store before the restore; otherwise it starts after it, and does not
     *     serve before it has heard which version of the configuration the other entries have in force
     */
    public void beginRestore(boolean seen) {
        // Without a recent confirmation, this entry cannot tell an older version in the copy from the newest one.
        if (!seen || confirmationAgeMillis() > RestoreWindow.DURATION_MILLIS) {
            versions.awaitReports(nowMillis());
        }
        if (!seen) {
            return;
        }
        // If a second restore follows within the window, the copy of the first may have confirmed an older version.
        if (!restoreWindow.isOpen(nowMillis())) {
            confirmedBeforeRestore = confirmedAt;
        }
        restoreWindow.begin(nowMillis());
    }

    /** Returns the window after a restore of the store in which absence from a full read removes nothing. */
    public RestoreWindow restoreWindow() {
        return restoreWindow;
    }

    private static long nowMillis() {
        return Timestamp.monotonicNowMillis();
    }

    /** Returns the time since the configuration was last known to be the newest one. */
    public long confirmationAgeMillis() {
        return confirmedAt == null ? Long.MAX_VALUE : confirmedAt.ageMillis();
    }

    /** Records that the list of instances has been read from the store. */
    public void markInstancesLoaded() {
        instancesLoaded = true;
    }

    /** Returns whether the list of instances has been read from the store. */
    public boolean areInstancesLoaded() {
        return instancesLoaded;
    }

    /** Sets whether this entry is registered in the store. */
    public void setRegistered(boolean registered) {
        entryRegistered = registered;
        if (registered) {
            versions.recordRegistration(nowMillis());
            coldStarts.recordRegistration(Timestamp.monotonicNowMillis());
        }
    }

    /** Returns whether this entry is registered in the store. */
    public boolean isRegistered() {
        return entryRegistered;
    }

    /** Sets whether this entry gives orders to engines. */
    public void givesOrders(boolean holder) {
        givesOrders = holder;
    }

    /** Returns whether this entry gives orders to engines. */
    public boolean givesOrders() {
        return givesOrders;
    }

    /** Records that this process is about to stop. */
    public void beginShutdown(ShutdownSchedule schedule) {
        shutdown = schedule;
    }

    /** Returns whether this process is about to stop. */
    public boolean isStopping() {
        return shutdown != null;
    }

    /** Returns the times of the stop; empty if this process is not about to stop. */
    public Optional<ShutdownSchedule> shutdown() {
        return Optional.ofNullable(shutdown);
    }

    /**
     * Returns whether requests can be served: the configuration and instances have been read, this entry is registered,
     * and the configuration was confirmed recently, also by the other entries if this one starts after a restore.
     *
     * @param maximumConfirmationAgeMillis the age of the confirmation from which requests are not served
     */
    public boolean canServe(long maximumConfirmationAgeMillis) {
        return document != null
                && instancesLoaded
                && entryRegistered
                && !versions.awaitsReports(peersKnown, peers, nowMillis())
                && confirmationAgeMillis() < maximumConfirmationAgeMillis;
    }

    /** Replaces the names of the other registered entries. */
    public void setPeers(Set<String> names) {
        peers = Set.copyOf(names);
        coldStarts.recordEntries(entryCount(), entryRank(), Timestamp.monotonicNowMillis());
        peersKnown = true;
        lastReportMillisByPeer.keySet().retainAll(names);
        updateSilentPeers();
        buckets.values().forEach(bucket -> bucket.retainMembers(names));
        instances.retainPeers(names);
    }

    /** Sets the interval at which each other entry reports. */
    public void setReportInterval(long millis) {
        reportIntervalMillis = millis;
    }

    /** Records the arrival of a report from another entry. */
    public void recordReport(String peer) {
        lastReportMillisByPeer.put(peer, Timestamp.monotonicNowMillis());
        silentPeers.remove(peer);
    }

    /**
     * Determines the initial tokens of the rate buckets once. If all entries started together, none of them granted
     * tokens while they were down, so the tokens that accrued between the start of this process and its first
     * configuration are credited. An entry that started earlier may already have granted them.
     *
     * @param olderPeer whether a report has arrived from an entry that started before this one
     */
    public void settleStartupBalances(boolean olderPeer) {
        if (startupBalancesSettled || document == null || !entryRegistered || !peersKnown) {
            return;
        }
        if (olderPeer) {
            startupBalancesSettled = true;
        } else if (silentPeers().isEmpty()) {
            startupBalancesSettled = true;
            long accruedMillis = firstDocumentMillis - Timestamp.processStart().monotonicMillis();
            buckets.values().forEach(bucket -> bucket.refillForDowntime(accruedMillis));
            LOG.info("event=started_together entries={} accrued_ms={}", entryCount(), accruedMillis);
        }
    }

    /** Records that a stream that is taken up is refused for lack of tokens of a team. */
    public void recordRejoiningRefused(TeamLimits team, long tokens) {
        rejoiningReserves
                .computeIfAbsent(team.name(), name -> new RejoiningReserve())
                .recordRefusal(tokens, team.burst(), Timestamp.monotonicNowMillis());
    }

    /**
     * Returns the tokens of a team that other requests leave to streams that are taken up. When entries have ended,
     * their streams come back at the same time, while the buckets of the others reserve the shares of these entries and
     * their own start empty.
     *
     * @param team the team
     * @param requestedTokens the number of tokens of the other request
     */
    public long tokensKeptForRejoining(TeamLimits team, long requestedTokens) {
        RejoiningReserve reserve = rejoiningReserves.get(team.name());
        return reserve == null ? 0 : reserve.tokens(team.burst(), requestedTokens, Timestamp.monotonicNowMillis());
    }

    /** Returns the number of registered entries whose names come before that of this one. */
    public int entryRank() {
        return (int) peers.stream().filter(name -> name.compareTo(entry) < 0).count();
    }

    /** Returns the number of registered entries, including this one. */
    public int entryCount() {
        return peers.size() + 1;
    }

    /** Updates the set of silent entries and returns it. Runs at intervals, because it iterates over all entries. */
    public Set<String> updateSilentPeers() {
        long nowMillis = Timestamp.monotonicNowMillis();
        long silenceLimitMillis = SILENCE_REPORT_INTERVALS * reportIntervalMillis + REPORT_DELAY_TOLERANCE_MILLIS;
        silentPeers.clear();
        for (String peer : peers) {
            Long lastReport = lastReportMillisByPeer.get(peer);
            if (lastReport == null || nowMillis - lastReport > silenceLimitMillis) {
                silentPeers.add(peer);
            }
        }
        return silentPeers();
    }

    /** Returns whether an entry was silent at the last update and has not reported since. */
    public boolean isSilent(String peer) {
        return silentPeers.contains(peer);
    }

    /** Returns the entries that were silent at the last update and have not reported since. */
    public Set<String> silentPeers() {
        return Set.copyOf(silentPeers);
    }

    /** Returns the rate bucket of a team; empty if the team has no rate limit. */
    public Optional<SharedTokenBucket> bucket(String team) {
        return Optional.ofNullable(buckets.get(team));
    }

    /** Returns the rate buckets by team. */
    public Map<String, SharedTokenBucket> buckets() {
        return buckets;
    }

    /** Adds the tokens that have accrued to the rate buckets. */
    public void refillBuckets() {
        long nowMillis = Timestamp.monotonicNowMillis();
        buckets.values().forEach(bucket -> bucket.refill(nowMillis, silentPeers, entryCount()));
    }
}
