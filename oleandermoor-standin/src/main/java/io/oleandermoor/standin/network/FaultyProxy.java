package io.oleandermoor.standin.network;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Passes TCP connections on to a target and shows failures of the network: connections that go silent in one or both
 * directions while they stay open, cut connections and delay. Safe for use by several threads.
 */
public final class FaultyProxy implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final InetSocketAddress target;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private final Channel server;

    private volatile Set<Direction> silentForNew = Set.of();

    private volatile long delayNanos;

    /**
     * Starts to pass connections on.
     *
     * @param listen the address to listen on; port 0 chooses a free port
     * @param target the address to which connections are passed on
     * @throws IOException if the address cannot be bound
     */
    public FaultyProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.target = Objects.requireNonNull(target, "target");
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(listen)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            var unused = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw new IOException("cannot listen on " + listen, bound.cause());
        }
        server = bound.channel();
    }

    /**
     * Returns the port on which the proxy listens.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Returns the number of connections that are passed on.
     *
     * @return the number, silent connections included
     */
    public int connections() {
        return links.size();
    }

    /**
     * Makes the connections that are open now drop everything in some directions, the end of the connection included.
     * They stay open, and new connections work.
     *
     * @param directions the directions that go silent
     */
    public void silenceOpen(Direction... directions) {
        links.forEach(link -> link.silent = Set.of(directions));
    }

    /**
     * Makes connections drop everything in some directions, those that are open as well as new ones. New connections
     * are still accepted. Without a direction, connections opened from now on work again; those that lost bytes stay
     * silent.
     *
     * @param directions the directions that go silent
     */
    public void silenceAll(Direction... directions) {
        silentForNew = Set.of(directions);
        if (directions.length > 0) {
            silenceOpen(directions);
        }
    }

    /** Cuts all open connections; both sides see the end. */
    public void cut() {
        links.forEach(Link::close);
    }

    /**
     * Delays what is passed on from now on. The order of bytes is kept.
     *
     * @param delay the delay in each direction
     */
    public void setDelay(Duration delay) {
        delayNanos = delay.toNanos();
    }

    @Override
    public void close() {
        server.close().awaitUninterruptibly();
        cut();
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private static void end(Channel channel) {
        var unused = channel.close();
    }

    private void accept(Channel client) {
        ChannelFuture connecting = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(target);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                link(client, connecting.channel());
            } else {
                end(client);
            }
        });
    }

    private void link(Channel client, Channel upstream) {
        Link link = new Link(client, upstream, silentForNew);
        links.add(link);
        client.pipeline().addLast(new Forwarder(link, Direction.TO_TARGET, upstream));
        upstream.pipeline().addLast(new Forwarder(link, Direction.TO_CLIENT, client));
        client.config().setAutoRead(true);
        upstream.config().setAutoRead(true);
    }

    /** The way of bytes. */
    public enum Direction {
        /** From the process that opened the connection to the target. */
        TO_TARGET,
        /** From the target to the process that opened the connection. */
        TO_CLIENT
    }

    private final class Link {

        private final Channel client;

        private final Channel upstream;

        private volatile Set<Direction> silent;

        Link(Channel client, Channel upstream, Set<Direction> silent) {
            this.client = client;
            this.upstream = upstream;
            this.silent = silent;
        }

        void close() {
            links.remove(this);
            end(client);
            end(upstream);
        }
    }

    /** Passes on what one side sends. Both channels of a link share an event loop, which keeps the order. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {

        private final Link link;

        private final Direction direction;

        private final Channel other;

        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

        private long lastDueNanos;

        Forwarder(Link link, Direction direction, Channel other) {
            this.link = link;
            this.direction = direction;
            this.other = other;
            this.lastDueNanos = System.nanoTime();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (link.silent.contains(direction)) {
                ReferenceCountUtil.release(message);
            } else {
                later(() -> {
                    var unused = other.writeAndFlush(message);
                });
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!link.silent.contains(direction)) {
                later(link::close);
            } else if (!other.isActive()) {
                link.close();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            other.config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(context.channel());
        }

        /**
         * Runs an action after the delay. Each timer runs the oldest waiting action, so that the order is kept when the
         * delay changes and when timers of nearly the same time fire in another order.
         */
        private void later(Runnable action) {
            long delay = delayNanos;
            if (delay == 0 && waiting.isEmpty()) {
                action.run();
                return;
            }
            waiting.add(action);
            long due = Math.max(System.nanoTime() + delay, lastDueNanos);
            lastDueNanos = due;
            var unused = other.eventLoop()
                    .schedule(() -> waiting.remove().run(), due - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
    }
}
