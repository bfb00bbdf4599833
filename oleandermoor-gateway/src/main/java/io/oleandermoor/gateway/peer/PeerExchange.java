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
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
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
    private static final long TICK_MILLIS = 100;
    /** Reports of one tick: with up to as many entries each one is told at every tick. */
    private static final int REPORTS_PER_TICK = 16;
    /** Other entries for each of which the giver of orders can take a report at every tick. */
    private static final int GIVER_REPORTS_PER_TICK = 64;
    /** Least time between two early reports for each other entry that gets them. */
    private static final long EARLY_MILLIS_FOR_EACH = 2;

    private static final long LEAST_EARLY_MILLIS = 20;
    /** Time without a report of the giver of orders after which demand is told to all. */
    private static final long GIVER_SILENT_MILLIS = 2_000;
    /** Size of what engines hold in one report: with the rest of it, some two packets of a link. */
    private static final int RESIDENT_BYTES = 1_000;

    /** Entries that started within this time of each other were down together. */
    private static final long TOGETHER_MILLIS = 1_500;

    private static final int LARGEST_DATAGRAM_BYTES = 32 << 10;

    private final EventLoop loop;
    private final DeploymentView view;
    private final DemandBoard demands;
    private final Supplier<Map<String, InetSocketAddress>> peers;
    private final Supplier<Map<ModelTarget, DemandBoard.Wanted>> ownDemand;
    private final long incarnation = System.currentTimeMillis();
    private final long startedMillis = Timestamp.monotonicNowMillis();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final ReportRotation rotation = new ReportRotation(REPORTS_PER_TICK);
    private final ResidentsToTell residents = new ResidentsToTell(RESIDENT_BYTES);
    private List<EngineResidents> roundPart = List.of();
    private Optional<String> giver = Optional.empty();
    private long giverHeardMillis;
    private boolean olderPeer;
    private long ticks;
    private long earlyMillis;
    private boolean early;
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
            DeploymentView view,
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
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Listens on an address; only what is told early is sent. */
    void bind(InetSocketAddress address) {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LARGEST_DATAGRAM_BYTES))
                .handler(new Receiver())
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Reports soon, because something was learned that others wait for. */
    public void reportSoon() {
        if (early) {
            return;
        }
        early = true;
        long gap = Math.max(
                LEAST_EARLY_MILLIS, EARLY_MILLIS_FOR_EACH * earlyTargets().size());
        long delay = Math.max(0, gap - (Timestamp.monotonicNowMillis() - earlyMillis));
        loop.schedule(this::reportEarly, delay, TimeUnit.MILLISECONDS);
    }

    /** Tells what an engine holds after an order of this entry. */
    public void tellResidents(String instance, Map<String, Set<String>> models) {
        if (!view.givesOrders()) {
            // The answer to an order came after the right to give orders was lost.
            return;
        }
        EngineResidents.Builder builder = EngineResidents.newBuilder().setInstance(instance);
        models.forEach((model, adapters) ->
                builder.addModels(ResidentModel.newBuilder().setModel(model).addAllAdapters(adapters)));
        residents.changed(builder.build());
        reportSoon();
    }

    /** Ceases to tell what engines hold. */
    public void notHolder() {
        residents.clear();
        roundPart = List.of();
    }

    private void tick() {
        ticks++;
        TreeMap<String, InetSocketAddress> known = new TreeMap<>(peers.get());
        view.setReportInterval(rotation.roundTicks(known.size()) * TICK_MILLIS);
        Set<String> silent = view.updateSilentPeers();
        silent.forEach(view.instances()::forgetPeer);
        demands.retain(view.entry(), known.keySet());
        silent.forEach(demands::forget);
        view.settleStartupBalances(olderPeer);
        view.refillBuckets();
        Map<ModelTarget, DemandBoard.Wanted> own = ownDemand.get();
        demands.report(view.entry(), own);
        Set<String> due = new LinkedHashSet<>(rotation.next(known.navigableKeySet()));
        Optional<String> orders = presentGiver();
        long giverTicks = 1 + known.size() / GIVER_REPORTS_PER_TICK;
        if (ticks % giverTicks == 0) {
            orders.ifPresent(due::add);
        }
        EntryReport.Builder report = report();
        if (view.givesOrders()) {
            report.addAllResidents(residentsOfRound(known.size()));
        }
        send(due, known, report, orders, own);
    }

    /** Returns what engines hold, the same part for all entries that are told in one round. */
    private List<EngineResidents> residentsOfRound(int entries) {
        if (ticks % rotation.roundTicks(entries) == 0) {
            residents.retain(id -> view.instances().state(id).isPresent());
            roundPart = residents.nextInTurn();
        }
        return roundPart;
    }

    private void reportEarly() {
        early = false;
        earlyMillis = Timestamp.monotonicNowMillis();
        Map<String, InetSocketAddress> known = peers.get();
        // Whom to tell depends on the changes that are taken out below.
        Set<String> targets = earlyTargets();
        EntryReport.Builder report = report();
        Map<ModelTarget, DemandBoard.Wanted> own = ownDemand.get();
        demands.report(view.entry(), own);
        List<EngineResidents> part = view.givesOrders() ? residents.nextChanges() : List.of();
        send(targets, known, report.addAllResidents(part), presentGiver(), own);
        if (residents.hasChanges() && view.givesOrders()) {
            reportSoon();
        }
    }

    /** What engines hold concerns all entries; what this entry needs concerns the one that gives orders. */
    private Set<String> earlyTargets() {
        if (view.givesOrders()) {
            return residents.hasChanges() ? peers.get().keySet() : Set.of();
        }
        return presentGiver().map(Set::of).orElse(Set.of());
    }

    private Optional<String> presentGiver() {
        boolean heard = Timestamp.monotonicNowMillis() - giverHeardMillis < GIVER_SILENT_MILLIS;
        return giver.filter(name -> heard && peers.get().containsKey(name));
    }

    private EntryReport.Builder report() {
        EntryReport.Builder report = EntryReport.newBuilder()
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .setUptimeMillis(Timestamp.monotonicNowMillis() - startedMillis)
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

    private void take(EntryReport report) {
        String peer = report.getEntry();
        if (peer.equals(view.entry())) {
            return;
        }
        view.refillBuckets();
        Long before = incarnations.put(peer, report.getIncarnation());
        boolean restarted = before == null || before != report.getIncarnation();
        boolean older = report.getUptimeMillis() > Timestamp.monotonicNowMillis() - startedMillis;
        olderPeer |= report.getUptimeMillis() > Timestamp.monotonicNowMillis() - startedMillis + TOGETHER_MILLIS;
        report.getGrantedTokensMap()
                .forEach((team, granted) ->
                        view.bucket(team).ifPresent(bucket -> bucket.peerGranted(peer, granted, restarted, older)));
        view.recordReport(peer);
        view.instances().peerLoad(peer, report.getRunningMap());
        if (report.getGivesOrders()) {
            giver = Optional.of(peer);
            giverHeardMillis = Timestamp.monotonicNowMillis();
        }
        takeDemand(peer, report);
        takeResidents(report);
    }

    /** A report without demand is one to an entry that does not give orders; what was told before is out of date. */
    private void takeDemand(String peer, EntryReport report) {
        Map<ModelTarget, DemandBoard.Wanted> wanted = new HashMap<>();
        for (TargetDemand demand : report.getDemandsList()) {
            wanted.put(
                    ModelTarget.parse(demand.getTarget()),
                    new DemandBoard.Wanted(demand.getRunning(), demand.getWaiting()));
        }
        demands.report(peer, wanted);
    }

    private void takeResidents(EntryReport report) {
        boolean changed = false;
        for (EngineResidents engine : report.getResidentsList()) {
            Map<String, Set<String>> models = new HashMap<>();
            engine.getModelsList()
                    .forEach(model -> models.put(model.getModel(), new HashSet<>(model.getAdaptersList())));
            changed |= view.instances()
                    .state(engine.getInstance())
                    .map(state -> state.ordered(models, Timestamp.monotonicNowMillis()))
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
                take(EntryReport.parseFrom(ByteBufUtil.getBytes(packet.content())));
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
