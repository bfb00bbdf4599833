package io.oleandermoor.transport.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.oleandermoor.transport.log.LogEvent;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Answers a malformed request with status 400, after the responses to earlier ones, and ends its connection. Jooby does
 * not ask whether a request could be decoded. Used by the connection's event loop only.
 */
final class MalformedRequestRefusal extends ChannelDuplexHandler {

    private static final Logger LOGGER = LogManager.getLogger(MalformedRequestRefusal.class);

    /** Time for which what follows the request is read and dropped before the connection is closed. */
    private static final long CLOSE_MILLIS = 1_000;

    private static final EarlyResponse RESPONSE = new EarlyResponse(
            "400 Bad Request",
            "",
            "{\"error\":{\"code\":\"bad_request\",\"message\":\"the request is malformed\",\"outcome\":\"not_run\"}}");

    private int requestsWithoutResponse;

    private boolean interim;

    private boolean malformed;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (malformed) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            malformed = true;
            if (!(message instanceof HttpRequest)) {
                // Its head was passed on, but gets no response of the handler without the rest.
                requestsWithoutResponse--;
            }
            LOGGER.info(LogEvent.of("malformed_request")
                    .with("address", String.valueOf(context.channel().remoteAddress()))
                    .with("cause", String.valueOf(part.decoderResult().cause())));
            ReferenceCountUtil.release(message);
            refuseIfDue(context);
            return;
        }
        if (message instanceof HttpRequest) {
            requestsWithoutResponse++;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        boolean last = message instanceof LastHttpContent && !interim;
        var unused = context.write(message, promise);
        if (last) {
            requestsWithoutResponse--;
            refuseIfDue(context);
        }
    }

    private void refuseIfDue(ChannelHandlerContext context) {
        if (malformed && requestsWithoutResponse <= 0) {
            RESPONSE.writeAndEndOutput(context);
            var unused = context.executor().schedule(() -> close(context), CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void close(ChannelHandlerContext context) {
        var unused = context.close();
    }
}
