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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.state.fleet.CallerLimits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Accepts the connections of callers. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class FrontServer {

    private static final int LARGEST_LINE_BYTES = 8 << 10;
    private static final int LARGEST_CHUNK_BYTES = 64 << 10;
    private static final int BACKLOG = 1_024;
    private static final long SWEEP_MILLIS = 500;
    /** Limits before the first configuration is known. */
    private static final CallerLimits FIRST_LIMITS = new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000);

    private final EventLoop loop;
    private final RequestDesk desk;
    private final Admission admission;
    private final Set<FrontConnection> connections = new HashSet<>();
    private @Nullable Channel listening;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop
     * @param desk what all requests share
     */
    public FrontServer(EventLoop loop, RequestDesk desk) {
        this.loop = loop;
        this.desk = desk;
        this.admission = new Admission(desk);
    }

    /** Listens on an address. */
    public void start(InetSocketAddress address) {
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        pipeline(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void pipeline(SocketChannel channel) {
        CallerLimits limits = limits();
        FrontConnection connection = new FrontConnection(this, admission);
        channel.pipeline()
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        if (message instanceof ByteBuf) {
                            connection.bytesCame();
                        }
                        context.fireChannelRead(message);
                    }
                })
                .addLast(new HttpServerCodec(LARGEST_LINE_BYTES, limits.maximumHeaderBytes(), LARGEST_CHUNK_BYTES))
                .addLast(new HttpObjectAggregator(limits.maximumBodyBytes(), true))
                .addLast(connection);
    }

    private CallerLimits limits() {
        return desk.view().document().map(document -> document.limits()).orElse(FIRST_LIMITS);
    }

    private void sweep() {
        long now = Moment.steadyNow();
        CallerLimits limits = limits();
        for (FrontConnection connection : new ArrayList<>(connections)) {
            connection.checkIdle(now, limits.idleTimeoutMillis(), limits.headerTimeoutMillis());
        }
    }

    /** Closes connections without a request; those with one close after their answer. */
    public void closeIdle() {
        new ArrayList<>(connections).forEach(FrontConnection::closeWhenIdle);
    }

    /** Returns whether a request has come in part on any connection. */
    public boolean receiving() {
        return connections.stream().anyMatch(FrontConnection::receiving);
    }

    /** Accepts no more connections. */
    public void stopListening() {
        if (listening != null) {
            listening.close();
        }
    }

    /** Closes all connections. */
    public void closeAll() {
        new ArrayList<>(connections).forEach(FrontConnection::closeNow);
    }

    boolean stopping() {
        return desk.view().isStopping();
    }

    void opened(FrontConnection connection) {
        connections.add(connection);
    }

    void closed(FrontConnection connection) {
        connections.remove(connection);
    }
}
