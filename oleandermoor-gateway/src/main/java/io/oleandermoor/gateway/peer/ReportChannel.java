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
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.protocol.message.EntryReport;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Sends and receives reports as datagrams and counts those that it sends. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Channel handlers receive failures.
final class ReportChannel {

    private static final Logger LOG = LogManager.getLogger(ReportChannel.class);
    /** Entries of the previous version do not limit the size of their reports. */
    private static final int MAXIMUM_RECEIVED_BYTES = 32 << 10;

    private final EventLoop loop;
    private final GatewayMetrics metrics;
    private final Consumer<EntryReport> receiver;
    private @Nullable Channel channel;

    /**
     * Creates a channel that is not bound.
     *
     * @param loop the event loop
     * @param metrics counts the datagrams sent
     * @param receiver handles the reports that arrive
     */
    ReportChannel(EventLoop loop, GatewayMetrics metrics, Consumer<EntryReport> receiver) {
        this.loop = loop;
        this.metrics = metrics;
        this.receiver = receiver;
    }

    /** Binds to an address and returns the bound address. */
    InetSocketAddress bind(InetSocketAddress address) {
        Channel bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAXIMUM_RECEIVED_BYTES))
                .handler(new Receiver())
                .bind(address)
                .syncUninterruptibly()
                .channel();
        channel = bound;
        return (InetSocketAddress) bound.localAddress();
    }

    boolean isBound() {
        return channel != null;
    }

    /** Writes datagrams to each receiver and flushes them. */
    void send(Collection<InetSocketAddress> receivers, List<byte[]> datagrams, GatewayMetrics.PeerMessage kind) {
        receivers.forEach(address -> write(address, datagrams, kind));
        flush();
    }

    /** Writes datagrams, which are sent by the next flush. */
    void write(InetSocketAddress address, List<byte[]> datagrams, GatewayMetrics.PeerMessage kind) {
        Channel current = channel;
        if (current == null) {
            return;
        }
        long bytes = 0;
        for (byte[] datagram : datagrams) {
            current.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address), current.voidPromise());
            bytes += datagram.length;
        }
        metrics.countPeerMessage(kind, datagrams.size(), bytes);
    }

    /** Sends what was written. */
    void flush() {
        Channel current = channel;
        if (current != null) {
            current.flush();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                receiver.accept(EntryReport.parseFrom(ByteBufUtil.getBytes(packet.content())));
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
