package io.oleandermoor.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Heartbeat;
import io.oleandermoor.transport.log.LogEvent;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Introduces this side, sends heartbeats, detects silence and passes messages on. One instance for each connection. */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, which the listener is told
final class PeerChannelHandler extends SimpleChannelInboundHandler<Envelope> implements PeerConnection {

    private static final Logger LOGGER = LogManager.getLogger(PeerChannelHandler.class);

    private final PeerIdentity self;

    private final PeerListener listener;

    private final Supplier<Heartbeat> content;

    private final Channel channel;

    private volatile @Nullable PeerIdentity remote;

    private long heartbeats;

    PeerChannelHandler(PeerIdentity self, PeerListener listener, Supplier<Heartbeat> content, Channel channel) {
        this.self = self;
        this.listener = listener;
        this.content = content;
        this.channel = channel;
    }

    @Override
    public PeerIdentity remote() {
        PeerIdentity known = remote;
        if (known == null) {
            throw new IllegalStateException("the other side has not introduced itself");
        }
        return known;
    }

    @Override
    public boolean send(Envelope envelope) {
        if (!channel.isActive()) {
            return false;
        }
        if (!channel.isWritable()) {
            // The other side does not keep up; a bounded buffer protects this process's memory.
            close("write buffer is full");
            return false;
        }
        channel.writeAndFlush(envelope, channel.voidPromise());
        return true;
    }

    @Override
    public boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public void close(String reason) {
        LogEvent.of("peer_closing")
                .with("remote", channel.remoteAddress())
                .with("reason", reason)
                .info(LOGGER);
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel.writeAndFlush(Envelope.newBuilder().setHello(self.toHello()).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (remote != null) {
            listener.received(this, envelope);
            return;
        }
        if (!envelope.hasHello() || envelope.getHello().getProtocolVersion() != PeerIdentity.PROTOCOL_VERSION) {
            close("first message is not a hello of protocol version " + PeerIdentity.PROTOCOL_VERSION);
            return;
        }
        remote = PeerIdentity.of(envelope.getHello());
        listener.opened(this);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                close("nothing received for " + PeerNode.SILENCE_TIMEOUT_MILLIS + " ms");
            } else if (idle.state() == IdleState.WRITER_IDLE) {
                heartbeats++;
                Heartbeat heartbeat =
                        content.get().toBuilder().setSequence(heartbeats).build();
                channel.writeAndFlush(
                        Envelope.newBuilder().setHeartbeat(heartbeat).build());
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (remote != null) {
            listener.closed(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(String.valueOf(cause.getMessage()));
    }
}
