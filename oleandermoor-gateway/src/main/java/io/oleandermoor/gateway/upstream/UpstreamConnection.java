package io.oleandermoor.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.platform.RequestHeaders.ResponseHead;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.transport.framing.BrokenLineDetector;
import io.oleandermoor.transport.framing.EmbeddedHeadDetector;
import io.oleandermoor.transport.framing.ResponseDecoder;
import io.oleandermoor.transport.framing.ResponseHeads;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an instance. A response with the id of an earlier request is an extra response and is skipped; a
 * response with any other id than that of the current request ends the connection. A connection that received
 * unexpected data is not reused.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Channel handlers receive failures; tasks run on the event loop.
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamPool.InFlightRequest {

    private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_HEADER_BYTES = 32 << 10;
    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final Pattern IDENTIFYING_HEADER =
            EmbeddedHeadDetector.headerPattern(RequestHeaders.IDENTIFYING_RESPONSE_HEADERS);
    /**
     * Limit for data that arrives before the response and is not part of it. One late response to an earlier request
     * fits; an instance that exceeds the limit may never stop sending.
     */
    private static final long MAXIMUM_UNMATCHED_BYTES = 256 << 10;
    /** Size that each skipped response head counts towards that limit. */
    private static final long UNMATCHED_HEAD_BYTES = 8 << 10;
    /** Requests without success after which a connection is not reused, because their ids have to be remembered. */
    private static final int MAXIMUM_UNSUCCESSFUL_REQUESTS = 64;

    private final UpstreamPool pool;
    private final UpstreamInstance instance;
    private final ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES));
    private @Nullable Channel channel;
    private @Nullable ResponseListener listener;
    private final Set<String> unsuccessfulIds = new HashSet<>();
    private final RecentIds servedIds = new RecentIds();
    private String requestId = "";
    private boolean successful;
    private long unmatchedBytes;
    private final BrokenLineDetector brokenLines = new BrokenLineDetector();
    private EmbeddedHeadDetector embeddedHeads = new EmbeddedHeadDetector(IDENTIFYING_HEADER);
    private boolean skippingResponse;
    private boolean receivingResponse;
    private boolean reusable;
    private boolean servedRequest;
    private boolean connectionFailed;
    private long keepAliveMillis = Integer.MAX_VALUE;
    private long usableUntilMillis = Long.MAX_VALUE;

    UpstreamConnection(UpstreamPool pool, UpstreamInstance instance) {
        this.pool = pool;
        this.instance = instance;
    }

    String instanceId() {
        return instance.id();
    }

    boolean isIdle() {
        return listener == null
                && reusable
                && channel != null
                && channel.isActive()
                && Timestamp.monotonicNowMillis() < usableUntilMillis;
    }

    /** Returns whether this idle connection has ended although the instance should keep it open for now. */
    boolean isClosedEarly() {
        return channel != null && !channel.isActive() && Timestamp.monotonicNowMillis() < usableUntilMillis;
    }

    /**
     * Returns whether a response to an earlier request with an id may still arrive on this connection: the request was
     * one of the last ones, or the instance declined it or failed.
     */
    boolean mayRepeatResponseTo(String id) {
        return servedRequest && (servedIds.contains(id) || unsuccessfulIds.contains(id));
    }

    void send(FullHttpRequest request, String id, ResponseListener responseListener) {
        listener = responseListener;
        requestId = id;
        unmatchedBytes = 0;
        skippingResponse = false;
        receivingResponse = false;
        // Connections that requests without an id leave behind would add up, because no such request uses one again.
        reusable = !id.isEmpty();
        Channel current = channel;
        if (current == null || !current.isActive()) {
            request.release();
            fail(ResponseListener.FailureKind.NOT_SENT, "connection closed before the request was sent");
            return;
        }
        decoder.expectResponseTo(request.method());
        brokenLines.reset();
        current.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                pool.reportContactLost(this);
                fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "send failed: " + future.cause());
            }
        });
    }

    /** Abandons the request. Closing the connection cancels it at the instance. */
    @Override
    public boolean cancel() {
        boolean sent = listener != null;
        listener = null;
        close();
        return sent;
    }

    @Override
    public void setAutoRead(boolean enabled) {
        if (channel != null && listener != null) {
            channel.config().setAutoRead(enabled);
        }
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns the handler that decodes the responses. */
    ResponseDecoder decoder() {
        return decoder;
    }

    /**
     * Returns a handler for the bytes of the connection before they are decoded. It closes the connection if any arrive
     * without a request in flight, or if a line among them goes on with another response.
     */
    ChannelInboundHandlerAdapter newByteInspector() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf data = (ByteBuf) message;
                boolean idle = listener == null;
                if (idle) {
                    reportIdleData(data);
                } else if (brokenLines.inspect(data)) {
                    report(ResponseAnomaly.JOINED_HEADS, "a line that breaks off within its end");
                    fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "line of two responses");
                } else {
                    context.fireChannelRead(message);
                    return;
                }
                data.release();
                close();
            }
        };
    }

    private void reportIdleData(ByteBuf data) {
        report(ResponseAnomaly.IDLE_DATA, data.toString(StandardCharsets.ISO_8859_1));
    }

    private void report(ResponseAnomaly anomaly, String detail) {
        pool.reportAnomaly(anomaly, instance, requestId, detail);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ResponseListener current = listener;
        if (current == null) {
            // No request is in flight, so the data belongs to no response.
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        try {
            if (message instanceof HttpResponse response) {
                handleHead(current, response);
            }
            if (message instanceof HttpContent content && listener == current) {
                handleContent(current, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(ResponseListener current, HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            report(ResponseAnomaly.MALFORMED_HEAD, response.decoderResult() + " " + response);
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "malformed response head");
            return;
        }
        Optional<String> secondStatusLine = ResponseHeads.findSecondStatusLine(response);
        if (secondStatusLine.isPresent()) {
            report(ResponseAnomaly.JOINED_HEADS, secondStatusLine.get());
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "head of two responses");
            return;
        }
        embeddedHeads = new EmbeddedHeadDetector(IDENTIFYING_HEADER);
        ResponseHead head = RequestHeaders.decode(response);
        if (head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            report(ResponseAnomaly.MALFORMED_HEAD, "status " + head.status());
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "unexpected switch of protocols");
            return;
        }
        if (head.status() < FIRST_FINAL_STATUS) {
            skippingResponse = true;
            countUnmatched(UNMATCHED_HEAD_BYTES);
            return;
        }
        // On a connection that served earlier requests, a response without a request id may be a late extra one.
        boolean matches =
                head.requestId().equals(requestId) || (head.requestId().isEmpty() && !servedRequest);
        skippingResponse = !matches;
        if (!matches) {
            passOver(head, response);
            return;
        }
        pool.reportNotice(instance, RequestHeaders.decodeNotice(response), true);
        receivingResponse = true;
        successful = head.success();
        if (!HttpUtil.isKeepAlive(response) || head.delimitedByClose()) {
            reusable = false;
        }
        keepAliveMillis = RequestHeaders.keepAliveMillis(response);
        current.onHead(head, response);
    }

    /**
     * Passes over a second response to an earlier request, or else ends the attempt: any other response may be the one
     * that is due, and a later one with the right id only a second response that differs from it.
     */
    private void passOver(ResponseHead head, HttpResponse response) {
        reusable = false;
        ResponseAnomaly anomaly = mismatch(head);
        report(anomaly, "status " + head.status() + " id " + head.requestId());
        if (anomaly == ResponseAnomaly.EARLIER_REQUEST) {
            // The response that is due must not disappear in the body of this one.
            embeddedHeads = EmbeddedHeadDetector.ofAnyStatusLine();
            pool.reportNotice(instance, RequestHeaders.decodeNotice(response), false);
            countUnmatched(UNMATCHED_HEAD_BYTES);
        } else {
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "response to no request of the connection");
        }
    }

    private ResponseAnomaly mismatch(ResponseHead head) {
        if (head.requestId().isEmpty()) {
            return ResponseAnomaly.MISSING_ID;
        }
        return servedIds.contains(head.requestId()) ? ResponseAnomaly.EARLIER_REQUEST : ResponseAnomaly.UNKNOWN_REQUEST;
    }

    private void handleContent(ResponseListener current, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            report(ResponseAnomaly.MALFORMED_BODY, String.valueOf(content.decoderResult()));
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "malformed response body");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (embeddedHeads.inspect(content.content())
                || (last && embeddedHeads.endsWithinHead(decoder.undecodedBytes()))
                || (skippingResponse && hasTrailers(content))) {
            report(ResponseAnomaly.EMBEDDED_HEAD, skippingResponse ? "in a copy" : "in the response");
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "response within the body of another one");
            return;
        }
        if (skippingResponse) {
            countUnmatched(content.content().readableBytes());
            return;
        }
        if (content.content().isReadable()) {
            current.onContent(content.content());
        }
        if (last && receivingResponse && listener == current) {
            completeResponse(current);
        }
    }

    private void completeResponse(ResponseListener current) {
        if (connectionFailed) {
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "connection was reset during the response");
            return;
        }
        setAutoRead(true);
        listener = null;
        if (decoder.undecodedBytes().isReadable()) {
            reportIdleData(decoder.undecodedBytes());
            reusable = false;
        }
        servedRequest = true;
        servedIds.add(requestId);
        if (!successful) {
            // Only these requests are sent again by this entry.
            unsuccessfulIds.add(requestId);
            reusable &= unsuccessfulIds.size() < MAXIMUM_UNSUCCESSFUL_REQUESTS;
        }
        // The instance counts the idle time from the end of its response.
        usableUntilMillis = Timestamp.monotonicNowMillis() + keepAliveMillis;
        pool.release(this);
        current.onComplete();
    }

    private static boolean hasTrailers(HttpContent content) {
        return content instanceof LastHttpContent end && !end.trailingHeaders().isEmpty();
    }

    /** Counts data that is not part of the response, and fails the request once it exceeds the limit. */
    private void countUnmatched(long bytes) {
        unmatchedBytes += bytes;
        if (unmatchedBytes > MAXIMUM_UNMATCHED_BYTES) {
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "too much data before the response");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (listener != null) {
            pool.reportContactLost(this);
        }
        fail(
                ResponseListener.FailureKind.OUTCOME_UNKNOWN,
                receivingResponse ? "connection closed during the response" : "connection closed before the response");
        pool.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionFailed = true;
        if (listener != null && !(cause instanceof DecoderException)) {
            pool.reportContactLost(this);
        }
        fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, String.valueOf(cause.getMessage()));
        close();
    }

    private void fail(ResponseListener.FailureKind kind, String reason) {
        ResponseListener current = listener;
        listener = null;
        close();
        if (current != null) {
            current.onFailure(kind, reason);
        }
    }
}
