package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.oleandermoor.state.fleet.CallerLimits;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Applies the limits that are in force when a request begins, although its connection may have been opened under
 * others, and refuses bodies for which no memory is left, and expectations that it does not know. Precedes the
 * aggregator of the request body, which it installs. Used on the event loop only.
 */
final class RequestLimitHandler extends ChannelInboundHandlerAdapter {

    /** Size of the separators of a header line: a colon, a space and the line end. */
    private static final int HEADER_SEPARATOR_BYTES = 4;

    private static final int CONTENT_TOO_LARGE = 413;
    private static final int EXPECTATION_FAILED = 417;

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
        return new HttpObjectAggregator(limits.maximumBodyBytes());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.pipeline().addAfter(context.name(), null, aggregator);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request && !refused) {
            connection.releaseReceivedBody();
            parts.release();
            applyLimits(context, request);
            checkHead(context, request);
        }
        if (message instanceof HttpContent content && !refused) {
            checkBody(context, content);
        }
        if (refused) {
            discard(message);
        } else if (message instanceof HttpContent content) {
            forward(context, content);
        } else {
            context.fireChannelRead(message);
        }
    }

    /**
     * Refuses a request by its head, or asks for its body. The aggregator would do so without regard to earlier
     * requests that have no response yet.
     */
    private void checkHead(ChannelHandlerContext context, HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return;
        }
        if (isUnknownExpectation(request)) {
            refuse(context, EXPECTATION_FAILED, "unsupported expectation");
        } else if (HttpUtil.getContentLength(request, 0) > aggregator.maxContentLength()) {
            refuse(context, CONTENT_TOO_LARGE, "length exceeds the limit");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            connection.requestBody();
        }
        request.headers().remove(HttpHeaderNames.EXPECT);
    }

    private static boolean isUnknownExpectation(HttpRequest request) {
        return request.headers().contains(HttpHeaderNames.EXPECT)
                && request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0
                && !HttpUtil.is100ContinueExpected(request);
    }

    private void checkBody(ChannelHandlerContext context, HttpContent content) {
        int bytes = content.content().readableBytes();
        if (connection.receivingBodyBytes() + bytes > aggregator.maxContentLength()) {
            refuse(context, CONTENT_TOO_LARGE, "body exceeds the limit");
        } else if (!connection.reserveBody(bytes)) {
            stopForwarding(context);
            connection.refuseUnread();
        }
    }

    private void refuse(ChannelHandlerContext context, int status, String cause) {
        stopForwarding(context);
        connection.refuseReceiving(status, cause);
    }

    private void stopForwarding(ChannelHandlerContext context) {
        refused = true;
        parts.release();
        replaceAggregator(context, limits.get());
    }

    private void discard(Object message) {
        ReferenceCountUtil.release(message);
        if (message instanceof LastHttpContent) {
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
