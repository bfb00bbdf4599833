package io.oleandermoor.gateway.request;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.fleet.CallerLimits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
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

    private static final int MAXIMUM_PENDING_CONNECTIONS = 1_024;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;
    /** Limits that apply until the first configuration is known. */
    private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000);

    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Admission admission;
    private final RequestBodyBudget bodies = new RequestBodyBudget();
    private final Set<CallerConnection> connections = new HashSet<>();
    private @Nullable Channel serverChannel;

    /**
     * Creates a server that is not listening yet.
     *
     * @param loop the event loop
     * @param dispatcher the dispatcher that all requests share
     */
    public CallerServer(EventLoop loop, RequestDispatcher dispatcher) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.admission = new Admission(dispatcher);
    }

    /** Starts listening on an address. */
    public void start(InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, MAXIMUM_PENDING_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        configurePipeline(channel);
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

    private void configurePipeline(SocketChannel channel) {
        int maximumHeaderBytes = Math.max(
                MINIMUM_HEADER_BUFFER_BYTES, Math.min(MAXIMUM_HEADER_BUFFER_BYTES, limits().maximumHeaderBytes()));
        CallerConnection connection = new CallerConnection(this, admission);
        channel.pipeline()
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        if (message instanceof ByteBuf) {
                            connection.bytesReceived();
                        }
                        context.fireChannelRead(message);
                    }
                })
                .addLast(new HttpServerCodec(MAXIMUM_REQUEST_LINE_BYTES, maximumHeaderBytes, MAXIMUM_CHUNK_BYTES))
                .addLast(new RequestLimitHandler(this::limits, connection))
                .addLast(connection);
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
