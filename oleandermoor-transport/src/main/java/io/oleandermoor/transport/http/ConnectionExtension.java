package io.oleandermoor.transport.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.oleandermoor.transport.framing.ServerCodec;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Adds time limits for reading a request to each HTTP connection that this process accepts, refuses requests whose end
 * cannot be told for certain, and limits the number of connections of a server. Jooby has no settings for these; Netty
 * loads this class as a service when the extension mechanism is switched on.
 */
public final class ConnectionExtension extends ChannelInitializerExtension {

    private static final String PROPERTY = ChannelInitializerExtension.EXTENSIONS_SYSTEM_PROPERTY;

    private static final String CODEC = "codec";

    /** Limits by the port that a server listens on; the settings give each server of a process a port of its own. */
    private static final Map<Integer, ConnectionLimit> LIMITS = new ConcurrentHashMap<>();

    /** Creates the extension; called by Netty. */
    public ConnectionExtension() {}

    /** Switches the mechanism on. Has to be called before the first server of the process starts. */
    static void enable() {
        System.setProperty(PROPERTY, "serviceload");
    }

    /** Sets the limit of the server on a port; it replaces that of an earlier server there. */
    static void limit(int port, ConnectionLimit connections) {
        LIMITS.put(port, connections);
    }

    @Override
    public void postInitializeServerChildChannel(Channel channel) {
        // Runs after the server's own initializer, which adds the codec.
        channel.pipeline().addLast(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel initialized) {
                prepare(initialized);
            }
        });
    }

    private static void prepare(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        if (!(pipeline.get(CODEC) instanceof HttpServerCodec)) {
            return;
        }
        ConnectionLimit limit =
                channel.localAddress() instanceof InetSocketAddress local ? LIMITS.get(local.getPort()) : null;
        if (limit != null && !limit.tryOpen()) {
            pipeline.addBefore(CODEC, "connection-refusal", new ConnectionRefusal());
            return;
        }
        if (limit != null) {
            channel.closeFuture().addListener(closed -> limit.closed());
        }
        pipeline.replace(CODEC, CODEC, new ServerCodec(new HttpDecoderConfig()));
        pipeline.addAfter(CODEC, "malformed-request", new MalformedRequestRefusal());
        RequestTimeout timeout = new RequestTimeout();
        pipeline.addBefore(CODEC, "request-start", timeout.startHandler());
        pipeline.addAfter(CODEC, "request-end", timeout.endHandler());
    }
}
