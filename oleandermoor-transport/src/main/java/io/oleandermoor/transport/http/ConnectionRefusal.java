package io.oleandermoor.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Answers the first bytes of a connection beyond the limit with status 503 and closes it. What follows is read and
 * dropped for a while, because closing a socket with unread bytes would reset the connection and lose the answer. Used
 * by the connection's event loop only.
 */
final class ConnectionRefusal extends ChannelInboundHandlerAdapter {

    /** Time after which the connection is closed, whether or not the caller sent anything or closed its side. */
    private static final long CLOSE_MILLIS = 1_000;

    private static final String BODY_TEXT =
            "{\"error\":{\"code\":\"too_many_connections\",\"message\":\"this entry has as"
                    + " many connections as it may have\",\"outcome\":\"not_run\",\"retry_after_ms\":1000}}";

    private boolean answered;

    @Override
    public void channelActive(ChannelHandlerContext context) {
        var unused = context.executor().schedule(() -> close(context), CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
        if (!answered) {
            answered = true;
            refuse(context);
        }
    }

    private static void close(ChannelHandlerContext context) {
        var unused = context.close();
    }

    private static void refuse(ChannelHandlerContext context) {
        String response = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n"
                + "Retry-After: 1\r\nContent-Length: " + BODY_TEXT.length() + "\r\n\r\n" + BODY_TEXT;
        ByteBuf buffer = Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII);
        ChannelHandlerContext head = context.pipeline().firstContext();
        var unused = head.writeAndFlush(buffer).addListener((ChannelFutureListener) written -> {
            if (written.isSuccess() && written.channel() instanceof SocketChannel socket) {
                var unusedResult = socket.shutdownOutput();
            }
        });
    }
}
