package io.oleandermoor.transport.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Time limits for reading one request of a connection. A caller that is too slow gets status 408, and the connection is
 * closed, so that slow callers cannot hold connections for long. Used by the connection's event loop only.
 */
final class RequestTimeout {

    /** Longest time from the first byte of a request to the end of its headers. */
    static final Duration HEADERS = Duration.ofSeconds(5);

    /** Longest time from the end of the headers to the end of the body. */
    static final Duration BODY = Duration.ofSeconds(20);

    private static final EarlyResponse RESPONSE = new EarlyResponse(
            "408 Request Timeout",
            "",
            "{\"error\":{\"code\":\"request_timeout\",\"message\":\"the request did not arrive in time\","
                    + "\"outcome\":\"not_run\"}}");

    private @Nullable ScheduledFuture<?> timer;

    private boolean reading;

    /** Returns the handler that sees the bytes before they are decoded. */
    ChannelHandler startHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (!reading) {
                    reading = true;
                    schedule(context, HEADERS);
                }
                context.fireChannelRead(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                stop();
                context.fireChannelInactive();
            }
        };
    }

    /** Returns the handler that sees the decoded parts of the request. */
    ChannelHandler endHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                    stop();
                    reading = false;
                } else if (message instanceof HttpRequest) {
                    schedule(context, BODY);
                }
                context.fireChannelRead(message);
            }
        };
    }

    private void schedule(ChannelHandlerContext context, Duration limit) {
        stop();
        timer = context.executor().schedule(() -> refuse(context), limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private static void refuse(ChannelHandlerContext context) {
        var unused = RESPONSE.write(context).addListener(ChannelFutureListener.CLOSE);
    }
}
