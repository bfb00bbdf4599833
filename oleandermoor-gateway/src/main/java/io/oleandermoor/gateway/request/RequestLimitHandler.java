package io.oleandermoor.gateway.request;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.oleandermoor.state.fleet.CallerLimits;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Applies the limits that are in force when a request begins, although its connection may have been opened under others.
 * Precedes the aggregator of the request body, which it installs. Used on the event loop only.
 */
final class RequestLimitHandler extends ChannelInboundHandlerAdapter {

    /** Size of the separators of a header line: a colon, a space and the line end. */
    private static final int HEADER_SEPARATOR_BYTES = 4;

    private final Supplier<CallerLimits> limits;
    private HttpObjectAggregator aggregator;

    RequestLimitHandler(Supplier<CallerLimits> limits) {
        this.limits = limits;
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
            applyLimits(context, request);
        }
        context.fireChannelRead(message);
    }

    private void applyLimits(ChannelHandlerContext context, HttpRequest request) {
        CallerLimits current = limits.get();
        if (current.maximumBodyBytes() != aggregator.maxContentLength()) {
            HttpObjectAggregator replacement = newAggregator(current);
            context.pipeline().replace(aggregator, null, replacement);
            aggregator = replacement;
        }
        if (request.decoderResult().isSuccess() && sizeOf(request.headers()) > current.maximumHeaderBytes()) {
            request.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException(
                    "the header section exceeds " + current.maximumHeaderBytes() + " bytes")));
        }
    }

    private static long sizeOf(HttpHeaders headers) {
        long bytes = 0;
        for (Map.Entry<String, String> header : headers) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
        }
        return bytes;
    }
}
