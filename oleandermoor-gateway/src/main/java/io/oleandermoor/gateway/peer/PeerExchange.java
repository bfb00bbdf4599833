package io.oleandermoor.gateway.peer;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.metrics.GatewayMetrics.PeerMessage;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.protocol.message.EngineResidents;
import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.InstanceLoad;
import io.oleandermoor.protocol.message.ReportKind;
import io.oleandermoor.protocol.message.ResidentModel;
import io.oleandermoor.protocol.message.TargetDemand;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.quarantine.CrashReport;
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.state.share.ReportRotation;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends reports to the other entries over UDP and applies their reports. Loads and rate grants go to all entries in
 * rotation. Demand goes to the order holder, the entry that gives orders to engines, which in turn reports the models
 * and adapters that engines hold. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Channel handlers receive failures; tasks run on the event loop.
public final class PeerExchange {

    private static final Logger LOG = LogManager.getLogger(PeerExchange.class);
    /** Entries choose instances by each other's request counts, which are about ten requests old at most. */
    private static final long TICK_INTERVAL_MILLIS = 100;
    /** Reports sent per tick. Up to this number of other entries, each one gets a report at every tick. */
    private static final int REPORTS_PER_TICK = 16;
    /** Reports that the order holder can process per tick. With more other entries, each one reports less often. */
    private static final int ORDER_HOLDER_REPORTS_PER_TICK = 64;
    /** Minimum interval between early reports, per entry that receives them. */
    private static final long EARLY_REPORT_MILLIS_PER_TARGET = 2;

    private static final long MINIMUM_EARLY_REPORT_INTERVAL_MILLIS = 20;
    /**
     * Maximum number of other entries to which changed loads are reported at once; with more of them, they are reported
     * in rotation only, because the cost of each change grows with their number.
     */
    private static final int MAXIMUM_LOAD_CHANGE_RECEIVERS = 64;
    /** Suspects of a crash in one datagram, which holds some hundred bytes of each. */
    private static final int MAXIMUM_DATAGRAM_SUSPECTS = 32;
    /** Time without a report of the order holder after which demand is reported to all entries. */
    private static final long ORDER_HOLDER_TIMEOUT_MILLIS = 2_000;
    /** Number of times that a crash is reported. */
    private static final int CRASH_REPORT_REPETITIONS = 3;
    /** Maximum size of the reported models and adapters; with the rest of the report, about two network packets. */
    private static final int MAXIMUM_RESIDENTS_BYTES = 1_000;

    /** Entries that started within this time of each other are assumed to have been down at the same time. */
    private static final long SIMULTANEOUS_START_MILLIS = 1_500;

    /** Maximum number of ticks between full reports to the same entry. */
    private static final int FULL_REPORT_TICKS = 10;
    /** Maximum size of a datagram; with the headers of UDP and IP and of a tunnel, it fits into a packet of 1,500. */
    static final int MAXIMUM_REPORT_BYTES = 1_400;

    private final EventLoop loop;
    private final DeploymentView view;
    private final DemandTracker demands;
    private final QuarantineCoordinator quarantine;
    private final Supplier<Map<String, InetSocketAddress>> peers;
    private final Supplier<Map<ModelTarget, DemandTracker.RequestCounts>> ownDemand;
    private final long incarnation = System.currentTimeMillis();
    private final long startedMillis = Timestamp.monotonicNowMillis();
    private final NameHashes instanceNames = new NameHashes();
    private final NameHashes teamNames = new NameHashes();
    private final OwnLoads ownLoads = new OwnLoads(FULL_REPORT_TICKS);
    private final PeerReports peerReports = new PeerReports(instanceNames, teamNames);
    private final Map<String, Map<ModelTarget, DemandTracker.RequestCounts>> reportedDemands = new HashMap<>();
    private final ReportChannel channel;
    private final LoadChangeQueue loadChanges;
    private final ReportRotation rotation = new ReportRotation(REPORTS_PER_TICK);
    private final ResidentReportQueue residentQueue = new ResidentReportQueue(MAXIMUM_RESIDENTS_BYTES);
    private List<EngineResidents> roundResidents = List.of();
    private Optional<String> orderHolder = Optional.empty();
    private long orderHolderReportMillis;
    private boolean olderPeerSeen;
    private long tickCount;
    private long lastEarlyReportMillis;
    private boolean earlyReportScheduled;

    /**
     * Creates an exchange that has not started.
     *
     * @param loop the event loop
     * @param view the view that receives loads and grants of other entries
     * @param demands the tracker that receives the demand of other entries
     * @param quarantine combines what the entries observe of requests that end instances
     * @param metrics counts the datagrams sent
     * @param peers the addresses of the other entries
     * @param ownDemand the demand of this entry for each target
     */
    public PeerExchange(
            EventLoop loop,
            DeploymentView view,
            DemandTracker demands,
            QuarantineCoordinator quarantine,
            GatewayMetrics metrics,
            Supplier<Map<String, InetSocketAddress>> peers,
            Supplier<Map<ModelTarget, DemandTracker.RequestCounts>> ownDemand) {
        this.loop = loop;
        this.view = view;
        this.demands = demands;
        this.quarantine = quarantine;
        this.peers = peers;
        this.ownDemand = ownDemand;
        this.channel = new ReportChannel(loop, metrics, this::handleReport);
        this.loadChanges = new LoadChangeQueue(loop, view.instances().failureDomain(), this::sendLoads);
    }

    /** Binds to an address and starts to send reports periodically. */
    public void start(InetSocketAddress address) {
        bind(address);
        startReports();
    }

    /** Starts to send reports periodically. */
    void startReports() {
        loop.scheduleAtFixedRate(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Binds to an address without periodic reports; only early reports are sent.
     *
     * @return the bound address
     */
    InetSocketAddress bind(InetSocketAddress address) {
        return channel.bind(address);
    }

    /**
     * Reports the load of an instance to other entries, because a prompt was sent to it or read by it: at once to those
     * of the own failure domain, and soon to the others.
     */
    public void reportLoad(String instance) {
        loadChanges.add(instance);
    }

    /** Reports at once to all other entries that an instance has ended, and repeats it in case a datagram is lost. */
    public void reportCrash(CrashReport crash) {
        crash.split(MAXIMUM_DATAGRAM_SUSPECTS).forEach(this::sendCrash);
    }

    private void sendCrash(CrashReport crash) {
        byte[] report = EntryReport.newBuilder()
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .addCrashes(QuarantineMessages.encode(crash))
                .build()
                .toByteArray();
        for (long repetition = 0; repetition < CRASH_REPORT_REPETITIONS; repetition++) {
            loop.schedule(
                    () -> channel.send(peers.get().values(), List.of(report), PeerMessage.CRASH),
                    TICK_INTERVAL_MILLIS * repetition,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void sendLoads(Set<String> instances, Predicate<String> receivers) {
        updateNames(NameHashes::update);
        Map<String, EntryLoad> changes = new HashMap<>();
        for (String id : instances) {
            view.instances().state(id).ifPresent(state -> changes.put(id, EntryLoad.of(state)));
        }
        Map<String, InetSocketAddress> addresses = peers.get();
        List<InetSocketAddress> selected = addresses.entrySet().stream()
                .filter(peer -> receivers.test(peer.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        if (changes.isEmpty() || selected.isEmpty() || addresses.size() > MAXIMUM_LOAD_CHANGE_RECEIVERS) {
            return;
        }
        changes.forEach(ownLoads::updateLoad);
        // An entry of the previous version takes a report without load changes for a complete one.
        EntryReport header = EntryReport.newBuilder()
                .setKind(ReportKind.REPORT_KIND_LOADS)
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .addLoadChanges(InstanceLoad.getDefaultInstance())
                .build();
        List<byte[]> parts = parts(header).addLoads(changes).build();
        channel.send(selected, parts, PeerMessage.LOADS);
    }

    private ReportParts parts(EntryReport header) {
        return parts(header, MAXIMUM_REPORT_BYTES);
    }

    private ReportParts parts(EntryReport header, int maximumBytes) {
        return new ReportParts(header, maximumBytes, instanceNames, teamNames);
    }

    /** Updates the hashes. Names that are newly ambiguous are reported in text in full reports to all entries. */
    private void updateNames(BiPredicate<NameHashes, Set<String>> update) {
        boolean instancesChanged = update.test(instanceNames, view.instances().ids());
        boolean teamsChanged = update.test(teamNames, view.buckets().keySet());
        if (instancesChanged || teamsChanged) {
            LOG.info("event=report_names_changed instances={} teams={}", instancesChanged, teamsChanged);
            ownLoads.requireFullReports();
        }
    }

    /** Schedules an early report, because other entries wait for new information. */
    public void reportSoon() {
        if (earlyReportScheduled) {
            return;
        }
        earlyReportScheduled = true;
        long interval = Math.max(
                MINIMUM_EARLY_REPORT_INTERVAL_MILLIS,
                EARLY_REPORT_MILLIS_PER_TARGET * earlyTargets().size());
        long delay = Math.max(0, interval - (Timestamp.monotonicNowMillis() - lastEarlyReportMillis));
        loop.schedule(this::reportEarly, delay, TimeUnit.MILLISECONDS);
    }

    /** Reports the models and adapters that an engine holds after an order of this entry. */
    public void reportResidents(String instance, Map<String, Set<String>> models) {
        if (!view.givesOrders()) {
            // The engine responded to an order after this entry had lost the order lease.
            return;
        }
        EngineResidents.Builder builder = EngineResidents.newBuilder().setInstance(instance);
        models.forEach((model, adapters) ->
                builder.addModels(ResidentModel.newBuilder().setModel(model).addAllAdapters(adapters)));
        residentQueue.update(builder.build());
        reportSoon();
    }

    /** Discards what would be reported about engines, because this entry no longer holds the order lease. */
    public void clearResidents() {
        residentQueue.clear();
        roundResidents = List.of();
    }

    private void tick() {
        tickCount++;
        TreeMap<String, InetSocketAddress> addresses = new TreeMap<>(peers.get());
        view.setReportInterval(rotation.roundTicks(addresses.size()) * TICK_INTERVAL_MILLIS);
        Set<String> silent = view.updateSilentPeers();
        silent.forEach(view.instances()::removePeer);
        demands.retain(view.entry(), addresses.keySet());
        silent.forEach(demands::remove);
        reportedDemands.keySet().retainAll(addresses.keySet());
        peerReports.retainLoads(addresses.keySet());
        ownLoads.retainPeers(addresses.keySet());
        loadChanges.retainPeers(addresses.keySet());
        // The full report that ends the silence tells the entry at once what it has missed.
        silent.forEach(ownLoads::requireFullReport);
        view.settleStartupBalances(olderPeerSeen);
        view.refillBuckets();
        Map<ModelTarget, DemandTracker.RequestCounts> own = ownDemand.get();
        demands.report(view.entry(), own);
        Set<String> targets = new LinkedHashSet<>(rotation.next(addresses.navigableKeySet()));
        Optional<String> holder = liveOrderHolder();
        long ticksPerHolderReport = 1 + addresses.size() / ORDER_HOLDER_REPORTS_PER_TICK;
        if (tickCount % ticksPerHolderReport == 0) {
            holder.ifPresent(targets::add);
        }
        List<EngineResidents> residents = view.givesOrders() ? residentsForRound(addresses.size()) : List.of();
        send(targets, addresses, residents, holder, own);
    }

    /** Returns the part of the engine contents to report; it is the same for all entries within one rotation. */
    private List<EngineResidents> residentsForRound(int peerCount) {
        if (tickCount % rotation.roundTicks(peerCount) == 0) {
            residentQueue.retain(id -> view.instances().state(id).isPresent());
            roundResidents = residentQueue.nextRoundRobin();
        }
        return roundResidents;
    }

    private void reportEarly() {
        earlyReportScheduled = false;
        lastEarlyReportMillis = Timestamp.monotonicNowMillis();
        Map<String, InetSocketAddress> addresses = peers.get();
        // Determine the targets first: they depend on the changes that are polled below.
        Set<String> targets = earlyTargets();
        Map<ModelTarget, DemandTracker.RequestCounts> own = ownDemand.get();
        demands.report(view.entry(), own);
        List<EngineResidents> part = view.givesOrders() ? residentQueue.pollChanges() : List.of();
        send(targets, addresses, part, liveOrderHolder(), own);
        if (residentQueue.hasChanges() && view.givesOrders()) {
            reportSoon();
        }
    }

    /** Returns the receivers of an early report: all entries for changed engines, the order holder for demand. */
    private Set<String> earlyTargets() {
        if (view.givesOrders()) {
            return residentQueue.hasChanges() ? peers.get().keySet() : Set.of();
        }
        return liveOrderHolder().map(Set::of).orElse(Set.of());
    }

    private Optional<String> liveOrderHolder() {
        boolean reportedRecently =
                Timestamp.monotonicNowMillis() - orderHolderReportMillis < ORDER_HOLDER_TIMEOUT_MILLIS;
        return orderHolder.filter(name -> reportedRecently && peers.get().containsKey(name));
    }

    /** Returns the fields that all parts of a regular report have. */
    private EntryReport newHeader(ReportKind kind) {
        boolean full = kind == ReportKind.REPORT_KIND_FULL;
        return EntryReport.newBuilder()
                .setKind(kind)
                .setFailureDomain(full ? view.instances().failureDomain() : "")
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .setUptimeMillis(Timestamp.monotonicNowMillis() - startedMillis)
                .setGivesOrders(view.givesOrders())
                .setConfigurationVersion(
                        view.document().map(FleetDocument::version).orElse(0L))
                .build();
    }

    /** The content of a report in which reports of the same tick differ. */
    private record Variant(long since, boolean withDemand, boolean withText) {}

    private void send(
            Set<String> targets,
            Map<String, InetSocketAddress> addresses,
            List<EngineResidents> residents,
            Optional<String> holder,
            Map<ModelTarget, DemandTracker.RequestCounts> own) {
        if (!channel.isBound() || targets.isEmpty()) {
            return;
        }
        updateNames(NameHashes::update);
        ownLoads.update(view.instances().states(), view.buckets());
        Map<Variant, List<byte[]>> encoded = new HashMap<>();
        int roundTicks = rotation.roundTicks(addresses.size());
        for (String name : targets) {
            InetSocketAddress address = addresses.get(name);
            if (address != null) {
                boolean wantsDemand = holder.map(name::equals).orElse(!view.givesOrders());
                Variant variant = new Variant(
                        ownLoads.beginReport(name, tickCount, roundTicks),
                        wantsDemand,
                        peerReports.isPreviousVersion(name));
                List<byte[]> parts = encoded.computeIfAbsent(
                        variant, key -> encode(key, residents, key.withDemand() ? own : Map.of()));
                channel.write(
                        address,
                        parts,
                        variant.since() == OwnLoads.NO_VERSION ? PeerMessage.FULL : PeerMessage.CHANGES);
            }
        }
        channel.flush();
    }

    private List<byte[]> encode(
            Variant variant, List<EngineResidents> residents, Map<ModelTarget, DemandTracker.RequestCounts> demand) {
        boolean full = variant.since() == OwnLoads.NO_VERSION;
        long nowMillis = Timestamp.monotonicNowMillis();
        EntryReport header = newHeader(full ? ReportKind.REPORT_KIND_FULL : ReportKind.REPORT_KIND_CHANGES);
        EntryReport withText = variant.withText() ? ownLoads.withText(header) : header;
        int textBytes = withText.getSerializedSize() - header.getSerializedSize();
        return parts(withText, MAXIMUM_REPORT_BYTES + textBytes)
                // The first part ends a silence, which releases the tokens reserved for it, so it has to hold these.
                .addTotals(ownLoads.totalsSince(variant.since()))
                .addDemands(demand.entrySet().stream()
                        .map(each -> TargetDemand.newBuilder()
                                .setTarget(each.getKey().toString())
                                .setRunning(each.getValue().running())
                                .setWaiting(each.getValue().waiting())
                                .build())
                        .toList())
                .addLoads(ownLoads.loadsSince(variant.since()))
                .addResidents(residents)
                .addQuarantines(
                        quarantine.active().stream()
                                .map(each -> QuarantineMessages.encode(each, nowMillis))
                                .toList(),
                        quarantine.recentlyDisproved())
                .build();
    }

    private void handleReport(EntryReport report) {
        String peer = report.getEntry();
        if (peer.equals(view.entry())) {
            return;
        }
        updateNames(NameHashes::updateIfResized);
        boolean previousVersion = report.getKind() == ReportKind.REPORT_KIND_UNSPECIFIED;
        if (report.getKind() == ReportKind.REPORT_KIND_LOADS || (previousVersion && report.getLoadChangesCount() > 0)) {
            applyLoadChanges(report);
            return;
        }
        if (report.getCrashesCount() > 0) {
            report.getCrashesList()
                    .forEach(crash -> quarantine.recordPeerCrash(QuarantineMessages.decode(crash), peer));
            return;
        }
        view.refillBuckets();
        if (peerReports.record(report)) {
            ownLoads.requireFullReport(peer);
        }
        boolean startedEarlier = report.getUptimeMillis() > Timestamp.monotonicNowMillis() - startedMillis;
        olderPeerSeen |=
                report.getUptimeMillis() > Timestamp.monotonicNowMillis() - startedMillis + SIMULTANEOUS_START_MILLIS;
        // A report of changes may lack what was granted in a silence; the full report follows within a second.
        if (report.getKind() != ReportKind.REPORT_KIND_CHANGES || !view.isSilent(peer)) {
            peerReports.applyTotals(peer, startedEarlier, view::bucket);
            view.recordReport(peer);
        }
        loadChanges.recordFailureDomain(peer, report.getFailureDomain());
        view.recordPeerVersion(peer, report.getConfigurationVersion());
        PeerReports.Loads loads = peerReports.loads(peer);
        view.instances().updatePeerLoads(peer, loads.running(), loads.unreadTokens(), Timestamp.monotonicNowMillis());
        if (report.getGivesOrders()) {
            orderHolder = Optional.of(peer);
            orderHolderReportMillis = Timestamp.monotonicNowMillis();
        }
        applyDemand(peer, report);
        applyResidents(report);
        quarantine.recordPeerDisproof(report.getDisprovedTraitsList(), peer);
        report.getQuarantinesList()
                .forEach(each ->
                        quarantine.restore(QuarantineMessages.decode(each, Timestamp.monotonicNowMillis()), peer));
    }

    private void applyLoadChanges(EntryReport report) {
        if (!peers.get().containsKey(report.getEntry())) {
            return;
        }
        long now = Timestamp.monotonicNowMillis();
        peerReports
                .recordLoadChanges(report)
                .forEach((id, load) -> view.instances()
                        .updatePeerLoad(report.getEntry(), id, load.running(), load.unreadTokens(), now));
    }

    /**
     * Replaces the demand of a peer, or adds to it if the report continues another one. A report without demand means
     * that the peer sends its demand to another entry.
     */
    private void applyDemand(String peer, EntryReport report) {
        Map<ModelTarget, DemandTracker.RequestCounts> wanted = new HashMap<>();
        if (report.getContinuation()) {
            wanted.putAll(reportedDemands.getOrDefault(peer, Map.of()));
        }
        for (TargetDemand demand : report.getDemandsList()) {
            wanted.put(
                    ModelTarget.parse(demand.getTarget()),
                    new DemandTracker.RequestCounts(demand.getRunning(), demand.getWaiting()));
        }
        reportedDemands.put(peer, wanted);
        demands.report(peer, wanted);
    }

    private void applyResidents(EntryReport report) {
        boolean changed = false;
        for (EngineResidents engine : report.getResidentsList()) {
            Map<String, Set<String>> models = new HashMap<>();
            engine.getModelsList()
                    .forEach(model -> models.put(model.getModel(), new HashSet<>(model.getAdaptersList())));
            changed |= view.instances()
                    .state(engine.getInstance())
                    .map(state -> state.updateOrderedModels(models, Timestamp.monotonicNowMillis()))
                    .orElse(false);
        }
        if (changed) {
            view.notifyChangeListeners();
        }
    }
}
