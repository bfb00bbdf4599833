package io.oleandermoor.transport.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Answers the first bytes of a connection beyond the limit with status 503 and closes it. What follows is read and
 * dropped for a while, because closing a socket with unread bytes would reset the connection and lose the answer. Used
 * by the connection's event loop only.
 */
final class ConnectionRefusal extends ChannelInboundHandlerAdapter {

    /** Time after which the connection is closed, whether or not the caller sent anything or closed its side. */
    private static final long CLOSE_MILLIS = 1_000;

    private static final EarlyResponse RESPONSE = new EarlyResponse(
            "503 Service Unavailable",
            "Retry-After: 1\r\n",
            "{\"error\":{\"code\":\"too_many_connections\",\"message\":\"this entry has as"
                    + " many connections as it may have\",\"outcome\":\"not_run\",\"retry_after_ms\":1000}}");

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
            RESPONSE.writeAndEndOutput(context);
        }
    }

    private static void close(ChannelHandlerContext context) {
        var unused = context.close();
    }
}
