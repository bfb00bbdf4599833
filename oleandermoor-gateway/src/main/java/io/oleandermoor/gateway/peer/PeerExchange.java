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
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Tells the other entries what this one does, and takes over what they tell. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class PeerExchange {

    private static final Logger LOG = LogManager.getLogger(PeerExchange.class);
    /** Entries choose instances by each other's counts; at this interval a count is some ten requests old at most. */
    private static final long REPORT_MILLIS = 100;
    /** Least time between two reports that are sent early. */
    private static final long EARLY_MILLIS = 20;

    /** What engines hold is repeated at this interval, so that a lost datagram is made good. */
    private static final long RESIDENTS_MILLIS = 400;

    /** Entries that started within this time of each other were down together. */
    private static final long TOGETHER_MILLIS = 1_500;

    private static final int LARGEST_DATAGRAM_BYTES = 32 << 10;

    private final EventLoop loop;
    private final FleetView view;
    private final DemandBoard demands;
    private final Supplier<Map<String, InetSocketAddress>> peers;
    private final Supplier<Map<ModelTarget, DemandBoard.Wanted>> ownDemand;
    private final long incarnation = System.currentTimeMillis();
    private final long startedMillis = Moment.steadyNow();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, EngineResidents> residents = new HashMap<>();
    private boolean olderPeer;
    private boolean holder;
    private boolean residentsChanged;
    private long residentsMillis;
    private long sentMillis;
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
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LARGEST_DATAGRAM_BYTES))
                .handler(new Receiver())
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(this::report, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reports soon, because something was learned that others wait for. */
    public void reportSoon() {
        if (early) {
            return;
        }
        early = true;
        long delay = Math.max(0, EARLY_MILLIS - (Moment.steadyNow() - sentMillis));
        loop.schedule(
                () -> {
                    early = false;
                    report();
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    /** Tells what an engine holds after an order of this entry. */
    public void tellResidents(String instance, Map<String, Set<String>> models) {
        holder = true;
        EngineResidents.Builder builder = EngineResidents.newBuilder().setInstance(instance);
        models.forEach((model, adapters) ->
                builder.addModels(ResidentModel.newBuilder().setModel(model).addAllAdapters(adapters)));
        residents.put(instance, builder.build());
        residentsChanged = true;
        reportSoon();
    }

    /** Ceases to tell what engines hold. */
    public void notHolder() {
        holder = false;
        residents.clear();
    }

    private void report() {
        Channel open = channel;
        if (open == null) {
            return;
        }
        sentMillis = Moment.steadyNow();
        view.silentPeers().forEach(view.instances()::forgetPeer);
        view.settleStart(olderPeer);
        view.refill();
        Map<ModelTarget, DemandBoard.Wanted> own = ownDemand.get();
        demands.report(view.entry(), own);
        EntryReport.Builder report = EntryReport.newBuilder()
                .setEntry(view.entry())
                .setIncarnation(incarnation)
                .setUptimeMillis(sentMillis - startedMillis);
        view.buckets().forEach((team, bucket) -> report.putGrantedTokens(team, bucket.granted()));
        for (InstanceState state : view.instances().all()) {
            if (state.ownLoad() > 0) {
                report.putRunning(state.instance().id(), state.ownLoad());
            }
        }
        own.forEach((target, wanted) -> report.addDemands(TargetDemand.newBuilder()
                .setTarget(target.toString())
                .setRunning(wanted.running())
                .setWaiting(wanted.waiting())));
        boolean residentsDue = residentsChanged || sentMillis - residentsMillis >= RESIDENTS_MILLIS;
        if (holder && residentsDue) {
            residentsChanged = false;
            residentsMillis = sentMillis;
            residents.keySet().removeIf(id -> view.instances().state(id).isEmpty());
            report.addAllResidents(residents.values());
        }
        byte[] bytes = report.build().toByteArray();
        List<InetSocketAddress> targets = new ArrayList<>(peers.get().values());
        for (InetSocketAddress target : targets) {
            open.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target), open.voidPromise());
        }
        open.flush();
    }

    private void take(EntryReport report) {
        String peer = report.getEntry();
        if (peer.equals(view.entry())) {
            return;
        }
        view.refill();
        Long before = incarnations.put(peer, report.getIncarnation());
        boolean restarted = before == null || before != report.getIncarnation();
        boolean older = report.getUptimeMillis() > Moment.steadyNow() - startedMillis;
        olderPeer |= report.getUptimeMillis() > Moment.steadyNow() - startedMillis + TOGETHER_MILLIS;
        report.getGrantedTokensMap()
                .forEach((team, granted) ->
                        view.bucket(team).ifPresent(bucket -> bucket.peerGranted(peer, granted, restarted, older)));
        view.heard(peer);
        view.instances().peerLoad(peer, report.getRunningMap());
        Map<ModelTarget, DemandBoard.Wanted> wanted = new HashMap<>();
        for (TargetDemand demand : report.getDemandsList()) {
            wanted.put(
                    ModelTarget.parse(demand.getTarget()),
                    new DemandBoard.Wanted(demand.getRunning(), demand.getWaiting()));
        }
        demands.report(peer, wanted);
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
