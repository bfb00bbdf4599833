package io.oleandermoor.gateway.request;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.internal.PlatformDependent;
import io.oleandermoor.gateway.metrics.GatewayMetrics.CallerDrop;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.callers.CallerMemory;
import io.oleandermoor.state.callers.ConnectionShares;
import io.oleandermoor.state.fleet.CallerLimits;
import io.oleandermoor.transport.framing.ResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Accepts HTTP connections from callers. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the channel handlers; tasks run on the loop.
public final class CallerServer {

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;
    /** Header size that the decoder of a connection accepts if the configured limit is lower, as that may be raised. */
    private static final int MINIMUM_HEADER_BUFFER_BYTES = 64 << 10;
    /** Header size that the decoder accepts at most, since it is kept for each connection. */
    private static final int MAXIMUM_HEADER_BUFFER_BYTES = 1 << 20;

    /**
     * Size of the buffer with which a connection is read. A connection keeps the buffer while a line is not complete,
     * so that larger ones would use up the direct memory with many connections.
     */
    private static final int MAXIMUM_READ_BYTES = 16 << 10;

    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MINIMUM_READ_BYTES = 64;

    private static final int MAXIMUM_PENDING_CONNECTIONS = 1_024;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;
    /** Limits that apply until the first configuration is known. */
    private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000);

    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Admission admission;
    private final RequestBodyBudget bodies = new RequestBodyBudget(PlatformDependent.maxDirectMemory());
    private final CallerMemory<CallerConnection> memory;
    private final ConnectionShares shares;
    private final Set<CallerConnection> connections = new HashSet<>();
    private @Nullable Channel serverChannel;

    /**
     * Creates a server that is not listening yet.
     *
     * @param loop the event loop
     * @param dispatcher the dispatcher that all requests share
     * @param bounds what all callers together may occupy
     */
    public CallerServer(EventLoop loop, RequestDispatcher dispatcher, CallerBounds bounds) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.admission = new Admission(dispatcher);
        this.memory = new CallerMemory<>(bounds.memoryBytes());
        this.shares = new ConnectionShares(bounds.connections());
    }

    /** Starts listening on an address. */
    public void start(InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, MAXIMUM_PENDING_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        acceptOrRefuse(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(
                this::closeTimedOut,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void acceptOrRefuse(SocketChannel channel) {
        InetSocketAddress remote = channel.remoteAddress();
        // A connection that its caller has already closed has no address any more.
        String address = remote == null ? "" : remote.getAddress().getHostAddress();
        if (!shares.tryOpen(address)) {
            dispatcher.metrics().countCallerDrop(CallerDrop.CONNECTION);
            dispatcher.eventLog().log("connection_refused", "address={} open={}", address, shares.open());
            channel.close();
            return;
        }
        channel.closeFuture().addListener(closed -> shares.close(address));
        configurePipeline(channel, address);
    }

    private void configurePipeline(SocketChannel channel, String address) {
        int maximumHeaderBytes = Math.max(
                MINIMUM_HEADER_BUFFER_BYTES, Math.min(MAXIMUM_HEADER_BUFFER_BYTES, limits().maximumHeaderBytes()));
        CallerConnection connection = new CallerConnection(this, admission, address);
        channel.closeFuture().addListener(closed -> connection.requestMemory().close());
        Queue<HttpMethod> methods = new ArrayDeque<>();
        channel.pipeline()
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        if (message instanceof ByteBuf) {
                            connection.bytesReceived();
                        }
                        context.fireChannelRead(message);
                        dropExcess();
                    }
                })
                .addLast(new ResponseEncoder(methods))
                .addLast(new CallerRequestDecoder(
                        MAXIMUM_REQUEST_LINE_BYTES,
                        maximumHeaderBytes,
                        MAXIMUM_CHUNK_BYTES,
                        connection.requestMemory(),
                        methods))
                .addLast(new RequestLimitHandler(this::limits, connection))
                .addLast(connection);
    }

    /** Drops unfinished requests until the memory for all callers is within its bound. */
    private void dropExcess() {
        Optional<CallerConnection> excess = memory.excess();
        while (excess.isPresent()) {
            CallerConnection connection = excess.get();
            dispatcher.metrics().countCallerDrop(CallerDrop.REQUEST);
            dispatcher
                    .eventLog()
                    .log(
                            "request_dropped",
                            "address={} bytes={} all_bytes={}",
                            connection.address(),
                            connection.requestMemory().bytes(),
                            memory.usedBytes());
            connection.dropUnserved();
            excess = memory.excess();
        }
    }

    CallerMemory<CallerConnection> memory() {
        return memory;
    }

    private CallerLimits limits() {
        return dispatcher.view().document().map(document -> document.limits()).orElse(DEFAULT_LIMITS);
    }

    private void closeTimedOut() {
        long now = Timestamp.monotonicNowMillis();
        CallerLimits limits = limits();
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.closeIfTimedOut(now, limits.idleTimeoutMillis(), limits.headerTimeoutMillis());
        }
    }

    /** Closes idle connections now and the others after their response. */
    public void closeWhenIdle() {
        new ArrayList<>(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /** Returns whether a request has been received in part on any connection. */
    public boolean isReceiving() {
        return connections.stream().anyMatch(CallerConnection::isReceiving);
    }

    /** Stops accepting connections. */
    public void stopListening() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /** Closes all connections. */
    public void closeAll() {
        new ArrayList<>(connections).forEach(CallerConnection::closeNow);
    }

    RequestBodyBudget bodies() {
        return bodies;
    }

    /** Logs that a body was refused because no memory is left for it. */
    void logRefusedBody(long receivedBytes) {
        dispatcher
                .eventLog()
                .log("body_refused", "received_bytes={} all_bodies_bytes={}", receivedBytes, bodies.reservedBytes());
    }

    /** Logs that a request was refused before it was received to its end. */
    void logRefusedRequest(String address, int status, String cause) {
        dispatcher
                .eventLog()
                .log(
                        "request_refused",
                        "address={} status={} cause=\"{}\"",
                        address,
                        status,
                        RequestEventLog.printable(cause));
    }

    boolean isStopping() {
        return dispatcher.view().isStopping();
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }
}
