package io.oleandermoor.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.platform.RequestHeaders.AnswerHead;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an instance. Answers that carry another identifier than the request's are extra answers of earlier
 * requests and are skipped; a connection on which anything unexpected came is not used again.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamPool.InFlightRequest {

    private static final int FIRST_FINAL_STATUS = 200;
    private static final long MILLIS_PER_SECOND = 1_000;
    /**
     * Bytes before the answer to a request that are no part of it. One late answer to an earlier request fits; an
     * instance that sends more may go on without end.
     */
    private static final long MAXIMUM_UNMATCHED_BYTES = 256 << 10;
    /** What a head counts in that sum. */
    private static final long UNMATCHED_HEAD_BYTES = 8 << 10;
    /** An idle connection is given up this long before the instance would close it. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 400;

    private final UpstreamPool pool;
    private final String instanceId;
    private @Nullable Channel channel;
    private @Nullable ResponseListener listener;
    private String requestId = "";
    private long unmatchedBytes;
    private boolean skippingResponse;
    private boolean receivingResponse;
    private boolean reusable;
    private boolean servedRequest;
    private boolean connectionFailed;
    private boolean delimitedByClose;
    private long usableUntilMillis = Long.MAX_VALUE;

    UpstreamConnection(UpstreamPool pool, String instance) {
        this.pool = pool;
        this.instanceId = instance;
    }

    String instanceId() {
        return instanceId;
    }

    boolean isIdle() {
        return listener == null
                && reusable
                && channel != null
                && channel.isActive()
                && Moment.steadyNow() < usableUntilMillis;
    }

    /**
     * Returns whether the last request on this connection had an identifier, so that a late copy of its answer might.
     */
    boolean lastServed(String id) {
        return servedRequest && requestId.equals(id);
    }

    void send(FullHttpRequest request, String id, ResponseListener next) {
        listener = next;
        requestId = id;
        unmatchedBytes = 0;
        skippingResponse = false;
        receivingResponse = false;
        reusable = true;
        Channel open = channel;
        if (open == null || !open.isActive()) {
            request.release();
            fail(ResponseListener.FailureKind.NOT_SENT, "connection ended before the send");
            return;
        }
        open.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "send failed: " + future.cause());
            }
        });
    }

    /** Gives up the request; closing the connection cancels it at the instance. */
    @Override
    public boolean cancel() {
        boolean sent = listener != null;
        listener = null;
        close();
        return sent;
    }

    @Override
    public void setAutoRead(boolean reads) {
        if (channel != null && listener != null) {
            channel.config().setAutoRead(reads);
        }
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ResponseListener current = listener;
        if (current == null) {
            // Bytes without a request belong to nobody.
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
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "malformed answer");
            return;
        }
        AnswerHead head = RequestHeaders.decode(response);
        if (head.status() < FIRST_FINAL_STATUS) {
            skippingResponse = true;
            countUnmatched(UNMATCHED_HEAD_BYTES);
            return;
        }
        // An answer without an identifier on a connection that served earlier requests may be a late extra one.
        boolean ours = head.requestId().equals(requestId) || (head.requestId().isEmpty() && !servedRequest);
        skippingResponse = !ours;
        if (!ours) {
            reusable = false;
            countUnmatched(UNMATCHED_HEAD_BYTES);
            return;
        }
        receivingResponse = true;
        delimitedByClose = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
        if (!HttpUtil.isKeepAlive(response) || delimitedByClose) {
            reusable = false;
        }
        usableUntilMillis = Moment.steadyNow() + keepAliveMillis(response);
        current.onHead(head, response);
    }

    private static long keepAliveMillis(HttpResponse response) {
        String value = response.headers().get(HttpHeaderNames.KEEP_ALIVE, "");
        int start = value.indexOf("timeout=");
        if (start < 0) {
            return Integer.MAX_VALUE;
        }
        String digits = value.substring(start + "timeout=".length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return Integer.MAX_VALUE;
        }
        return Long.parseLong(digits) * MILLIS_PER_SECOND - KEEP_ALIVE_MARGIN_MILLIS;
    }

    private void handleContent(ResponseListener current, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "malformed body");
            return;
        }
        if (skippingResponse) {
            countUnmatched(content.content().readableBytes());
            return;
        }
        if (content.content().isReadable()) {
            current.onContent(content.content());
        }
        if (content instanceof LastHttpContent && receivingResponse && listener == current) {
            if (connectionFailed) {
                fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "connection was reset in the answer");
                return;
            }
            setAutoRead(true);
            listener = null;
            servedRequest = true;
            pool.release(this);
            current.onComplete();
        }
    }

    /** Counts bytes that belong to no request or say nothing, and ends the connection where they have no end. */
    private void countUnmatched(long bytes) {
        unmatchedBytes += bytes;
        if (unmatchedBytes > MAXIMUM_UNMATCHED_BYTES) {
            fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, "bytes that are no answer");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(
                ResponseListener.FailureKind.OUTCOME_UNKNOWN,
                receivingResponse ? "connection ended in the answer" : "connection ended unanswered");
        pool.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionFailed = true;
        fail(ResponseListener.FailureKind.OUTCOME_UNKNOWN, String.valueOf(cause.getMessage()));
        close();
    }

    private void fail(ResponseListener.FailureKind how, String reason) {
        ResponseListener current = listener;
        listener = null;
        close();
        if (current != null) {
            current.onFailure(how, reason);
        }
    }
}
