package io.oleandermoor.transport.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * Adds time limits for reading a request to each HTTP connection that this process accepts. Jooby has no setting for
 * them; Netty loads this class as a service when the extension mechanism is switched on.
 */
public final class RequestTimeoutExtension extends ChannelInitializerExtension {

    private static final String PROPERTY = ChannelInitializerExtension.EXTENSIONS_SYSTEM_PROPERTY;

    private static final String CODEC = "codec";

    /** Creates the extension; called by Netty. */
    public RequestTimeoutExtension() {}

    /** Switches the mechanism on. Has to be called before the first server of the process starts. */
    static void enable() {
        System.setProperty(PROPERTY, "serviceload");
    }

    @Override
    public void postInitializeServerChildChannel(Channel channel) {
        // Runs after the server's own initializer, which adds the codec.
        channel.pipeline().addLast(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel initialized) {
                addTimeouts(initialized.pipeline());
            }
        });
    }

    private static void addTimeouts(ChannelPipeline pipeline) {
        if (pipeline.get(CODEC) instanceof HttpServerCodec) {
            RequestTimeout timeout = new RequestTimeout();
            pipeline.addBefore(CODEC, "request-start", timeout.startHandler());
            pipeline.addAfter(CODEC, "request-end", timeout.endHandler());
        }
    }
}
