package io.oleandermoor.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.protocol.message.EngineResidents;
import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.InstanceLoad;
import io.oleandermoor.protocol.message.ResidentModel;
import io.oleandermoor.protocol.message.TargetDemand;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.quarantine.CrashReport;
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.state.share.ReportRotation;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

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
    /** Time without a report of the order holder after which demand is reported to all entries. */
    private static final long ORDER_HOLDER_TIMEOUT_MILLIS = 2_000;
    /** Number of times that a crash is reported. */
    private static final int CRASH_REPORT_REPETITIONS = 3;
    /** Maximum size of the reported models and adapters; with the rest of the report, about two network packets. */
    private static final int MAXIMUM_RESIDENTS_BYTES = 1_000;

    /** Entries that started within this time of each other are assumed to have been down at the same time. */
    private static final long SIMULTANEOUS_START_MILLIS = 1_500;

    private static final int MAXIMUM_DATAGRAM_BYTES = 32 << 10;

    private final EventLoop loop;
    private final DeploymentView view;
    private final DemandTracker demands;
    private final QuarantineCoordinator quarantine;
    private final Supplier<Map<String, InetSocketAddress>> peers;
    private final Supplier<Map<ModelTarget, DemandTracker.RequestCounts>> ownDemand;
    private final long incarnation = System.currentTimeMillis();
    private final long startedMillis = Timestamp.monotonicNowMillis();
    private final Map<String, Long> peerIncarnations = new HashMap<>();
    private final ReportRotation rotation = new ReportRotation(REPORTS_PER_TICK);
    private final Set<String> changedLoads = new LinkedHashSet<>();
    private final ResidentReportQueue residentQueue = new ResidentReportQueue(MAXIMUM_RESIDENTS_BYTES);
    private List<EngineResidents> roundResidents = List.of();
    private Optional<String> orderHolder = Optional.empty();
    private long orderHolderReportMillis;
    private boolean olderPeerSeen;
    private long tickCount;
    private long lastEarlyReportMillis;
    private boolean earlyReportScheduled;
    private @Nullable Channel channel;

    /**
     * Creates an exchange that has not started.
     *
     * @param loop the event loop
     * @param view the view that receives loads and grants of other entries
     * @param demands the tracker that receives the demand of other entries
     * @param quarantine combines what the entries observe of requests that end instances
     * @param peers the addresses of the other entries
     * @param ownDemand the demand of this entry for each target
     */
    public PeerExchange(
            EventLoop loop,
            DeploymentView view,
            DemandTracker demands,
            QuarantineCoordinator quarantine,
            Supplier<Map<String, InetSocketAddress>> peers,
            Supplier<Map<ModelTarget, DemandTracker.RequestCounts>> ownDemand) {
        this.loop = loop;
        this.view = view;
        this.demands = demands;
        this.quarantine = quarantine;
        this.peers = peers;
        this.ownDemand = ownDemand;
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
        Channel bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
                .handler(new Receiver())
                .bind(address)
                .syncUninterruptibly()
                .channel();
        channel = bound;
        return (InetSocketAddress) bound.localAddress();
    }

    /** Reports the load of an instance to other entries at once, because a prompt was sent to it or read by it. */
    public void reportLoad(String instance) {
        if (changedLoads.add(instance) && changedLoads.size() == 1) {
            loop.execute(this::sendChangedLoads);
        }
    }

    /** Reports at once to all other entries that an instance has ended, and repeats it in case a datagram is lost. */
    public void reportCrash(CrashReport crash) {
        byte[] report = EntryReport.newBuilder()
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .addCrashes(QuarantineMessages.encode(crash))
                .build()
                .toByteArray();
        for (long repetition = 0; repetition < CRASH_REPORT_REPETITIONS; repetition++) {
            loop.schedule(
                    () -> write(peers.get().values(), report),
                    TICK_INTERVAL_MILLIS * repetition,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void sendChangedLoads() {
        EntryReport.Builder report =
                EntryReport.newBuilder().setEntry(view.entry()).setIncarnation(incarnation);
        for (String id : changedLoads) {
            view.instances()
                    .state(id)
                    .ifPresent(state -> report.addLoadChanges(InstanceLoad.newBuilder()
                            .setInstance(id)
                            .setRunning(state.localLoad())
                            .setUnreadPromptTokens(state.pendingPrefillTokens())));
        }
        changedLoads.clear();
        Map<String, InetSocketAddress> addresses = peers.get();
        if (report.getLoadChangesCount() > 0 && addresses.size() <= MAXIMUM_LOAD_CHANGE_RECEIVERS) {
            write(addresses.values(), report.build().toByteArray());
        }
    }

    private void write(Collection<InetSocketAddress> receivers, byte[] report) {
        Channel current = channel;
        if (current == null) {
            return;
        }
        receivers.forEach(address ->
                current.write(new DatagramPacket(Unpooled.wrappedBuffer(report), address), current.voidPromise()));
        current.flush();
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
        EntryReport.Builder report = newReport();
        if (view.givesOrders()) {
            report.addAllResidents(residentsForRound(addresses.size()));
        }
        send(targets, addresses, report, holder, own);
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
        EntryReport.Builder report = newReport();
        Map<ModelTarget, DemandTracker.RequestCounts> own = ownDemand.get();
        demands.report(view.entry(), own);
        List<EngineResidents> part = view.givesOrders() ? residentQueue.pollChanges() : List.of();
        send(targets, addresses, report.addAllResidents(part), liveOrderHolder(), own);
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

    private EntryReport.Builder newReport() {
        EntryReport.Builder report = EntryReport.newBuilder()
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .setUptimeMillis(Timestamp.monotonicNowMillis() - startedMillis)
                .setGivesOrders(view.givesOrders())
                .setConfigurationVersion(
                        view.document().map(FleetDocument::version).orElse(0L));
        view.buckets().forEach((team, bucket) -> report.putGrantedTokens(team, bucket.grantedTokens()));
        for (InstanceState state : view.instances().states()) {
            if (state.localLoad() > 0) {
                report.putRunning(state.instance().id(), state.localLoad());
            }
            if (state.pendingPrefillTokens() > 0) {
                report.putUnreadPromptTokens(state.instance().id(), state.pendingPrefillTokens());
            }
        }
        QuarantineMessages.addTo(
                report, quarantine.active(), quarantine.recentlyDisproved(), Timestamp.monotonicNowMillis());
        return report;
    }

    private void send(
            Set<String> targets,
            Map<String, InetSocketAddress> addresses,
            EntryReport.Builder report,
            Optional<String> holder,
            Map<ModelTarget, DemandTracker.RequestCounts> own) {
        Channel current = channel;
        if (current == null || targets.isEmpty()) {
            return;
        }
        byte[] withoutDemand = report.build().toByteArray();
        own.forEach((target, wanted) -> report.addDemands(TargetDemand.newBuilder()
                .setTarget(target.toString())
                .setRunning(wanted.running())
                .setWaiting(wanted.waiting())));
        byte[] withDemand = report.build().toByteArray();
        for (String name : targets) {
            InetSocketAddress address = addresses.get(name);
            if (address != null) {
                boolean wantsDemand = holder.map(name::equals).orElse(!view.givesOrders());
                current.write(
                        new DatagramPacket(Unpooled.wrappedBuffer(wantsDemand ? withDemand : withoutDemand), address),
                        current.voidPromise());
            }
        }
        current.flush();
    }

    private void handleReport(EntryReport report) {
        String peer = report.getEntry();
        if (peer.equals(view.entry())) {
            return;
        }
        if (report.getLoadChangesCount() > 0) {
            applyLoadChanges(report);
            return;
        }
        if (report.getCrashesCount() > 0) {
            report.getCrashesList()
                    .forEach(crash -> quarantine.recordPeerCrash(QuarantineMessages.decode(crash), peer));
            return;
        }
        view.refillBuckets();
        Long previousIncarnation = peerIncarnations.put(peer, report.getIncarnation());
        boolean restarted = previousIncarnation == null || previousIncarnation != report.getIncarnation();
        boolean startedEarlier = report.getUptimeMillis() > Timestamp.monotonicNowMillis() - startedMillis;
        olderPeerSeen |=
                report.getUptimeMillis() > Timestamp.monotonicNowMillis() - startedMillis + SIMULTANEOUS_START_MILLIS;
        report.getGrantedTokensMap()
                .forEach((team, granted) -> view.bucket(team)
                        .ifPresent(bucket -> bucket.recordPeerGrants(peer, granted, restarted, startedEarlier)));
        view.recordReport(peer);
        view.recordPeerVersion(peer, report.getConfigurationVersion());
        view.instances()
                .updatePeerLoads(
                        peer,
                        report.getRunningMap(),
                        report.getUnreadPromptTokensMap(),
                        Timestamp.monotonicNowMillis());
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
        for (InstanceLoad change : report.getLoadChangesList()) {
            view.instances()
                    .updatePeerLoad(
                            report.getEntry(),
                            change.getInstance(),
                            change.getRunning(),
                            change.getUnreadPromptTokens(),
                            now);
        }
    }

    /** Replaces the demand of a peer. A report without demand means that the peer sends its demand to another entry. */
    private void applyDemand(String peer, EntryReport report) {
        Map<ModelTarget, DemandTracker.RequestCounts> wanted = new HashMap<>();
        for (TargetDemand demand : report.getDemandsList()) {
            wanted.put(
                    ModelTarget.parse(demand.getTarget()),
                    new DemandTracker.RequestCounts(demand.getRunning(), demand.getWaiting()));
        }
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

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                handleReport(EntryReport.parseFrom(ByteBufUtil.getBytes(packet.content())));
            } catch (InvalidProtocolBufferException exception) {
                LOG.warn("event=report_unreadable sender={} cause=\"{}\"", packet.sender(), exception.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A full send buffer or a closed port of a peer loses one datagram; the next report replaces it.
            LOG.debug("event=report_failed cause=\"{}\"", cause.getMessage());
        }
    }
}
