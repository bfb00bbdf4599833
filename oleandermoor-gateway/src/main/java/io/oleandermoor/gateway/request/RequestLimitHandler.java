package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.oleandermoor.state.fleet.CallerLimits;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Applies the limits that are in force when a request begins, although its connection may have been opened under
 * others, and refuses bodies for which no memory is left. Precedes the aggregator of the request body, which it
 * installs. Used on the event loop only.
 */
final class RequestLimitHandler extends ChannelInboundHandlerAdapter {

    /** Size of the separators of a header line: a colon, a space and the line end. */
    private static final int HEADER_SEPARATOR_BYTES = 4;

    private final Supplier<CallerLimits> limits;
    private final CallerConnection connection;
    private HttpObjectAggregator aggregator;
    private final BodyParts parts = new BodyParts();
    private boolean refused;

    RequestLimitHandler(Supplier<CallerLimits> limits, CallerConnection connection) {
        this.limits = limits;
        this.connection = connection;
        this.aggregator = newAggregator(limits.get());
    }

    private static HttpObjectAggregator newAggregator(CallerLimits limits) {
        return new HttpObjectAggregator(limits.maximumBodyBytes(), true);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.pipeline().addAfter(context.name(), null, aggregator);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            connection.releaseReceivedBody();
            parts.release();
            applyLimits(context, request);
        }
        if (message instanceof HttpContent content) {
            handleContent(context, content);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void handleContent(ChannelHandlerContext context, HttpContent content) {
        if (!refused && !connection.reserveBody(content.content().readableBytes())) {
            refused = true;
            parts.release();
            replaceAggregator(context, limits.get());
            connection.refuseUnread();
        }
        if (!refused) {
            forward(context, content);
            return;
        }
        content.release();
        if (content instanceof LastHttpContent) {
            connection.unreadDiscarded();
        }
    }

    private void forward(ChannelHandlerContext context, HttpContent content) {
        // The copy of a part would lose that it could not be decoded, and a cut body would count as complete.
        if (isCompleteBody(content) || content.decoderResult().isFailure()) {
            context.fireChannelRead(content);
            return;
        }
        if (!(content instanceof LastHttpContent)) {
            parts.add(context.alloc(), content.content()).ifPresent(part -> forwardPart(context, part));
            content.release();
            return;
        }
        parts.take().ifPresent(part -> forwardPart(context, part));
        context.fireChannelRead(compact(context, content));
    }

    private static void forwardPart(ChannelHandlerContext context, ByteBuf part) {
        context.fireChannelRead(new DefaultHttpContent(part));
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        parts.release();
    }

    private boolean isCompleteBody(HttpContent content) {
        return content instanceof LastHttpContent
                && connection.receivingBodyBytes() == content.content().readableBytes();
    }

    /** Copies the last part of a body, which otherwise keeps the larger buffer that it was received with. */
    private static HttpContent compact(ChannelHandlerContext context, HttpContent content) {
        ByteBuf part = content.content();
        HttpContent copy = content.replace(context.alloc()
                .buffer(part.readableBytes(), part.readableBytes())
                .writeBytes(part));
        content.release();
        return copy;
    }

    private void applyLimits(ChannelHandlerContext context, HttpRequest request) {
        CallerLimits current = limits.get();
        if (current.maximumBodyBytes() != aggregator.maxContentLength()) {
            replaceAggregator(context, current);
        }
        if (request.decoderResult().isSuccess() && sizeOf(request.headers()) > current.maximumHeaderBytes()) {
            request.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException(
                    "the header section exceeds " + current.maximumHeaderBytes() + " bytes")));
        }
    }

    /** Replaces the aggregator, which releases what it has received of a body. */
    private void replaceAggregator(ChannelHandlerContext context, CallerLimits current) {
        HttpObjectAggregator replacement = newAggregator(current);
        context.pipeline().replace(aggregator, null, replacement);
        aggregator = replacement;
    }

    private static long sizeOf(HttpHeaders headers) {
        long bytes = 0;
        for (Map.Entry<String, String> header : headers) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
        }
        return bytes;
    }
}
