package io.oleandermoor.gateway.request;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.oleandermoor.transport.framing.ServerCodec;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Answers the readiness checks of the load balancer, and requests for the metrics of this process. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the channel handlers; tasks run on the loop.
public final class ReadinessServer {

    private static final int MAXIMUM_BODY_BYTES = 1 << 10;
    private static final String METRICS_PATH = "/metrics";
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private ReadinessServer() {}

    /**
     * Starts listening.
     *
     * @param loop the event loop
     * @param address the address to listen on
     * @param ready whether this process accepts requests of callers
     * @param metrics the metrics of this process as text
     */
    public static void start(
            EventLoop loop, InetSocketAddress address, BooleanSupplier ready, Supplier<byte[]> metrics) {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new ServerCodec(new HttpDecoderConfig()))
                                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES, true))
                                .addLast(new Responder(ready, metrics));
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private static final class Responder extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final BooleanSupplier ready;
        private final Supplier<byte[]> metrics;

        Responder(BooleanSupplier ready, Supplier<byte[]> metrics) {
            this.ready = ready;
            this.metrics = metrics;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                refuseMalformed(context);
                return;
            }
            if (request.uri().equals(METRICS_PATH)) {
                DefaultFullHttpResponse text = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(metrics.get()));
                text.headers().set(HttpHeaderNames.CONTENT_TYPE, METRICS_TYPE);
                text.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, text.content().readableBytes());
                context.writeAndFlush(text, context.voidPromise());
                return;
            }
            HttpResponseStatus status =
                    ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            context.writeAndFlush(response, context.voidPromise());
        }

        /** The decoder reads nothing behind a malformed request. */
        private static void refuseMalformed(ChannelHandlerContext context) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
