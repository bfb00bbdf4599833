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
import io.oleandermoor.gateway.view.FleetView;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.protocol.message.EngineResidents;
import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.ResidentModel;
import io.oleandermoor.protocol.message.TargetDemand;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.residency.DemandBoard;
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
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Tells the other entries what this one does, and takes over what they tell. Loads and grants go to all entries in
 * turn, demand goes to the entry that gives orders, and that one tells what engines hold. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class PeerExchange {

    private static final Logger LOG = LogManager.getLogger(PeerExchange.class);
    /** Entries choose instances by each other's counts; at this interval a count is some ten requests old at most. */
    private static final long TICK_INTERVAL_MILLIS = 100;
    /** Reports of one tick: with up to as many entries each one is told at every tick. */
    private static final int REPORTS_PER_TICK = 16;
    /** Other entries for each of which the giver of orders can take a report at every tick. */
    private static final int ORDER_HOLDER_REPORTS_PER_TICK = 64;
    /** Least time between two early reports for each other entry that gets them. */
    private static final long EARLY_REPORT_MILLIS_PER_TARGET = 2;

    private static final long MINIMUM_EARLY_REPORT_INTERVAL_MILLIS = 20;
    /** Time without a report of the giver of orders after which demand is told to all. */
    private static final long ORDER_HOLDER_TIMEOUT_MILLIS = 2_000;
    /** Size of what engines hold in one report: with the rest of it, some two packets of a link. */
    private static final int MAXIMUM_RESIDENTS_BYTES = 1_000;

    /** Entries that started within this time of each other were down together. */
    private static final long SIMULTANEOUS_START_MILLIS = 1_500;

    private static final int MAXIMUM_DATAGRAM_BYTES = 32 << 10;

    private final EventLoop loop;
    private final FleetView view;
    private final DemandBoard demands;
    private final Supplier<Map<String, InetSocketAddress>> peers;
    private final Supplier<Map<ModelTarget, DemandBoard.Wanted>> ownDemand;
    private final long incarnation = System.currentTimeMillis();
    private final long startedMillis = Moment.steadyNow();
    private final Map<String, Long> peerIncarnations = new HashMap<>();
    private final ReportRotation rotation = new ReportRotation(REPORTS_PER_TICK);
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
     * @param view where loads and grants of other entries are noted
     * @param demands where their demand is noted
     * @param peers the addresses of the other entries
     * @param ownDemand what this entry has for each target
     */
    public PeerExchange(
            EventLoop loop,
            FleetView view,
            DemandBoard demands,
            Supplier<Map<String, InetSocketAddress>> peers,
            Supplier<Map<ModelTarget, DemandBoard.Wanted>> ownDemand) {
        this.loop = loop;
        this.view = view;
        this.demands = demands;
        this.peers = peers;
        this.ownDemand = ownDemand;
    }

    /** Listens on an address and starts to report. */
    public void start(InetSocketAddress address) {
        bind(address);
        loop.scheduleAtFixedRate(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Listens on an address; only what is told early is sent. */
    void bind(InetSocketAddress address) {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
                .handler(new Receiver())
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Reports soon, because something was learned that others wait for. */
    public void reportSoon() {
        if (earlyReportScheduled) {
            return;
        }
        earlyReportScheduled = true;
        long gap = Math.max(
                MINIMUM_EARLY_REPORT_INTERVAL_MILLIS,
                EARLY_REPORT_MILLIS_PER_TARGET * earlyTargets().size());
        long delay = Math.max(0, gap - (Moment.steadyNow() - lastEarlyReportMillis));
        loop.schedule(this::reportEarly, delay, TimeUnit.MILLISECONDS);
    }

    /** Tells what an engine holds after an order of this entry. */
    public void reportResidents(String instance, Map<String, Set<String>> models) {
        if (!view.givesOrders()) {
            // The answer to an order came after the right to give orders was lost.
            return;
        }
        EngineResidents.Builder builder = EngineResidents.newBuilder().setInstance(instance);
        models.forEach((model, adapters) ->
                builder.addModels(ResidentModel.newBuilder().setModel(model).addAllAdapters(adapters)));
        residentQueue.update(builder.build());
        reportSoon();
    }

    /** Ceases to tell what engines hold. */
    public void clearResidents() {
        residentQueue.clear();
        roundResidents = List.of();
    }

    private void tick() {
        tickCount++;
        TreeMap<String, InetSocketAddress> known = new TreeMap<>(peers.get());
        view.reportRound(rotation.roundTicks(known.size()) * TICK_INTERVAL_MILLIS);
        Set<String> silent = view.updateSilentPeers();
        silent.forEach(view.instances()::forgetPeer);
        demands.retain(view.entry(), known.keySet());
        silent.forEach(demands::forget);
        view.settleStart(olderPeerSeen);
        view.refill();
        Map<ModelTarget, DemandBoard.Wanted> own = ownDemand.get();
        demands.report(view.entry(), own);
        Set<String> due = new LinkedHashSet<>(rotation.next(known.navigableKeySet()));
        Optional<String> orders = liveOrderHolder();
        long giverTicks = 1 + known.size() / ORDER_HOLDER_REPORTS_PER_TICK;
        if (tickCount % giverTicks == 0) {
            orders.ifPresent(due::add);
        }
        EntryReport.Builder report = newReport();
        if (view.givesOrders()) {
            report.addAllResidents(residentsForRound(known.size()));
        }
        send(due, known, report, orders, own);
    }

    /** Returns what engines hold, the same part for all entries that are told in one round. */
    private List<EngineResidents> residentsForRound(int entries) {
        if (tickCount % rotation.roundTicks(entries) == 0) {
            residentQueue.retain(id -> view.instances().state(id).isPresent());
            roundResidents = residentQueue.nextRoundRobin();
        }
        return roundResidents;
    }

    private void reportEarly() {
        earlyReportScheduled = false;
        lastEarlyReportMillis = Moment.steadyNow();
        Map<String, InetSocketAddress> known = peers.get();
        // Whom to tell depends on the changes that are taken out below.
        Set<String> targets = earlyTargets();
        EntryReport.Builder report = newReport();
        Map<ModelTarget, DemandBoard.Wanted> own = ownDemand.get();
        demands.report(view.entry(), own);
        List<EngineResidents> part = view.givesOrders() ? residentQueue.pollChanges() : List.of();
        send(targets, known, report.addAllResidents(part), liveOrderHolder(), own);
        if (residentQueue.hasChanges() && view.givesOrders()) {
            reportSoon();
        }
    }

    /** What engines hold concerns all entries; what this entry needs concerns the one that gives orders. */
    private Set<String> earlyTargets() {
        if (view.givesOrders()) {
            return residentQueue.hasChanges() ? peers.get().keySet() : Set.of();
        }
        return liveOrderHolder().map(Set::of).orElse(Set.of());
    }

    private Optional<String> liveOrderHolder() {
        boolean heard = Moment.steadyNow() - orderHolderReportMillis < ORDER_HOLDER_TIMEOUT_MILLIS;
        return orderHolder.filter(name -> heard && peers.get().containsKey(name));
    }

    private EntryReport.Builder newReport() {
        EntryReport.Builder report = EntryReport.newBuilder()
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .setUptimeMillis(Moment.steadyNow() - startedMillis)
                .setGivesOrders(view.givesOrders());
        view.buckets().forEach((team, bucket) -> report.putGrantedTokens(team, bucket.granted()));
        for (InstanceState state : view.instances().all()) {
            if (state.ownLoad() > 0) {
                report.putRunning(state.instance().id(), state.ownLoad());
            }
        }
        return report;
    }

    private void send(
            Set<String> names,
            Map<String, InetSocketAddress> known,
            EntryReport.Builder report,
            Optional<String> orders,
            Map<ModelTarget, DemandBoard.Wanted> own) {
        Channel open = channel;
        if (open == null || names.isEmpty()) {
            return;
        }
        byte[] plain = report.build().toByteArray();
        own.forEach((target, wanted) -> report.addDemands(TargetDemand.newBuilder()
                .setTarget(target.toString())
                .setRunning(wanted.running())
                .setWaiting(wanted.waiting())));
        byte[] withDemand = report.build().toByteArray();
        for (String name : names) {
            InetSocketAddress address = known.get(name);
            if (address != null) {
                boolean wantsDemand = orders.map(name::equals).orElse(!view.givesOrders());
                open.write(
                        new DatagramPacket(Unpooled.wrappedBuffer(wantsDemand ? withDemand : plain), address),
                        open.voidPromise());
            }
        }
        open.flush();
    }

    private void handleReport(EntryReport report) {
        String peer = report.getEntry();
        if (peer.equals(view.entry())) {
            return;
        }
        view.refill();
        Long before = peerIncarnations.put(peer, report.getIncarnation());
        boolean restarted = before == null || before != report.getIncarnation();
        boolean older = report.getUptimeMillis() > Moment.steadyNow() - startedMillis;
        olderPeerSeen |= report.getUptimeMillis() > Moment.steadyNow() - startedMillis + SIMULTANEOUS_START_MILLIS;
        report.getGrantedTokensMap()
                .forEach((team, granted) ->
                        view.bucket(team).ifPresent(bucket -> bucket.peerGranted(peer, granted, restarted, older)));
        view.heard(peer);
        view.instances().peerLoad(peer, report.getRunningMap());
        if (report.getGivesOrders()) {
            orderHolder = Optional.of(peer);
            orderHolderReportMillis = Moment.steadyNow();
        }
        applyDemand(peer, report);
        applyResidents(report);
    }

    /** A report without demand is one to an entry that does not give orders; what was told before is out of date. */
    private void applyDemand(String peer, EntryReport report) {
        Map<ModelTarget, DemandBoard.Wanted> wanted = new HashMap<>();
        for (TargetDemand demand : report.getDemandsList()) {
            wanted.put(
                    ModelTarget.parse(demand.getTarget()),
                    new DemandBoard.Wanted(demand.getRunning(), demand.getWaiting()));
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
                    .map(state -> state.ordered(models, Moment.steadyNow()))
                    .orElse(false);
        }
        if (changed) {
            view.changed();
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
            // A full link or a closed port of a peer concerns one datagram; the next report makes up for it.
            LOG.debug("event=report_failed cause=\"{}\"", cause.getMessage());
        }
    }
}
