package io.oleandermoor.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Heartbeat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Accepts and opens peer connections. A side that has sent nothing for {@value #HEARTBEAT_MILLIS} ms sends a heartbeat;
 * a side that has received nothing for {@value #SILENCE_TIMEOUT_MILLIS} ms closes the connection, which detects
 * connections that something in between has forgotten.
 */
public final class PeerNode implements AutoCloseable {

    /** Longest time without sending, in milliseconds. */
    public static final int HEARTBEAT_MILLIS = 500;

    /** Longest time without receiving, in milliseconds: four heartbeats. */
    public static final int SILENCE_TIMEOUT_MILLIS = 2000;

    /** Longest time that opening a connection may take, in milliseconds. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private static final int FLUSHES_TO_CONSOLIDATE = 64;

    private static final int LOW_WATER_MARK_BYTES = 4 * 1024 * 1024;

    private static final int HIGH_WATER_MARK_BYTES = 16 * 1024 * 1024;

    private final PeerIdentity self;

    private final PeerListener listener;

    private final Supplier<Heartbeat> heartbeat;

    private final EventLoopGroup acceptor = new NioEventLoopGroup(1, new DefaultThreadFactory("peer-accept", true));

    private final EventLoopGroup eventLoops;

    /**
     * Creates the node without opening anything.
     *
     * @param self what this process says about itself
     * @param listener receives the events of all connections
     * @param heartbeat supplies what heartbeats carry; the sequence is added
     * @param threads the number of event loops
     */
    public PeerNode(PeerIdentity self, PeerListener listener, Supplier<Heartbeat> heartbeat, int threads) {
        this.self = self;
        this.listener = listener;
        this.heartbeat = heartbeat;
        this.eventLoops = new NioEventLoopGroup(threads, new DefaultThreadFactory("peer", true));
    }

    /**
     * Accepts connections.
     *
     * @param address the address to listen on
     * @return the address that was bound, with the chosen port if the given one was 0
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(acceptor, eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(new Initializer());
        var bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(), bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /**
     * Opens a connection. The listener is told when it is ready.
     *
     * @param address the address of the other process
     * @param onEnd called if the connection could not be opened, and when an opened one has closed
     */
    public void connect(InetSocketAddress address, Runnable onEnd) {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(new Initializer());
        bootstrap.connect(address).addListener(future -> {
            if (future.isSuccess()) {
                // A paused process completes the handshake of TCP and never introduces itself; the connection is then
                // closed for silence, and the caller must be able to try again.
                ((ChannelFuture) future).channel().closeFuture().addListener(closed -> onEnd.run());
            } else {
                onEnd.run();
            }
        });
    }

    @Override
    public void close() {
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES);
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new FlushConsolidationHandler(FLUSHES_TO_CONSOLIDATE, true))
                    .addLast(new IdleStateHandler(SILENCE_TIMEOUT_MILLIS, HEARTBEAT_MILLIS, 0, TimeUnit.MILLISECONDS))
                    .addLast(new ProtobufVarint32FrameDecoder())
                    .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                    .addLast(new ProtobufVarint32LengthFieldPrepender())
                    .addLast(new ProtobufEncoder())
                    .addLast(new PeerChannelHandler(self, listener, heartbeat, (Channel) channel));
        }
    }
}
