package io.oleandermoor.gateway.request;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/** Answers the readiness checks of the load balancer. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the channel handlers; tasks run on the loop.
public final class ReadinessServer {

    private static final int MAXIMUM_BODY_BYTES = 1 << 10;

    private ReadinessServer() {}

    /** Starts listening on an address. */
    public static void start(EventLoop loop, InetSocketAddress address, BooleanSupplier ready) {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                .addLast(new Responder(ready));
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private static final class Responder extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final BooleanSupplier ready;

        Responder(BooleanSupplier ready) {
            this.ready = ready;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpResponseStatus status =
                    ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            context.writeAndFlush(response, context.voidPromise());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
