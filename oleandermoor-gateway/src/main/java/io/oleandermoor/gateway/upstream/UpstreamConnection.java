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
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.platform.RequestHeaders.AnswerHead;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an instance. Answers that carry another identifier than the request's are extra answers of earlier
 * requests and are skipped; a connection on which anything unexpected came is not used again.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamPool.Sending {

    private static final int FIRST_FINAL_STATUS = 200;
    private static final long MILLIS_PER_SECOND = 1_000;
    /**
     * Bytes before the answer to a request that are no part of it. One late answer to an earlier request fits; an
     * instance that sends more may go on without end.
     */
    private static final long LARGEST_FOREIGN_BYTES = 256 << 10;
    /** What a head counts in that sum. */
    private static final long HEAD_BYTES = 8 << 10;
    /** An idle connection is given up this long before the instance would close it. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 400;

    private final UpstreamPool pool;
    private final String instance;
    private @Nullable Channel channel;
    private @Nullable Attempt attempt;
    private String requestId = "";
    private long foreignBytes;
    private boolean skipping;
    private boolean answering;
    private boolean reusable;
    private boolean used;
    private boolean failed;
    private boolean delimitedByClose;
    private long usableUntilMillis = Long.MAX_VALUE;

    UpstreamConnection(UpstreamPool pool, String instance) {
        this.pool = pool;
        this.instance = instance;
    }

    String instance() {
        return instance;
    }

    boolean idle() {
        return attempt == null
                && reusable
                && channel != null
                && channel.isActive()
                && Timestamp.monotonicNowMillis() < usableUntilMillis;
    }

    /**
     * Returns whether the last request on this connection had an identifier, so that a late copy of its answer might.
     */
    boolean served(String id) {
        return used && requestId.equals(id);
    }

    void send(FullHttpRequest request, String id, Attempt next) {
        attempt = next;
        requestId = id;
        foreignBytes = 0;
        skipping = false;
        answering = false;
        reusable = true;
        Channel open = channel;
        if (open == null || !open.isActive()) {
            request.release();
            breakOff(Attempt.Break.NOT_SENT, "connection ended before the send");
            return;
        }
        open.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                breakOff(Attempt.Break.UNKNOWN, "send failed: " + future.cause());
            }
        });
    }

    /** Gives up the request; closing the connection cancels it at the instance. */
    @Override
    public boolean cancel() {
        boolean sent = attempt != null;
        attempt = null;
        close();
        return sent;
    }

    @Override
    public void reading(boolean reads) {
        if (channel != null && attempt != null) {
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
        Attempt current = attempt;
        if (current == null) {
            // Bytes without a request belong to nobody.
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        try {
            if (message instanceof HttpResponse response) {
                head(current, response);
            }
            if (message instanceof HttpContent content && attempt == current) {
                content(current, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(Attempt current, HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            breakOff(Attempt.Break.UNKNOWN, "malformed answer");
            return;
        }
        AnswerHead head = RequestHeaders.decode(response);
        if (head.status() < FIRST_FINAL_STATUS) {
            skipping = true;
            foreign(HEAD_BYTES);
            return;
        }
        // An answer without an identifier on a connection that served earlier requests may be a late extra one.
        boolean ours = head.requestId().equals(requestId) || (head.requestId().isEmpty() && !used);
        skipping = !ours;
        if (!ours) {
            reusable = false;
            foreign(HEAD_BYTES);
            return;
        }
        answering = true;
        delimitedByClose = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
        if (!HttpUtil.isKeepAlive(response) || delimitedByClose) {
            reusable = false;
        }
        usableUntilMillis = Timestamp.monotonicNowMillis() + keepAliveMillis(response);
        current.head(head, response);
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

    private void content(Attempt current, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            breakOff(Attempt.Break.UNKNOWN, "malformed body");
            return;
        }
        if (skipping) {
            foreign(content.content().readableBytes());
            return;
        }
        if (content.content().isReadable()) {
            current.content(content.content());
        }
        if (content instanceof LastHttpContent && answering && attempt == current) {
            if (failed) {
                breakOff(Attempt.Break.UNKNOWN, "connection was reset in the answer");
                return;
            }
            reading(true);
            attempt = null;
            used = true;
            pool.release(this);
            current.ended();
        }
    }

    /** Counts bytes that belong to no request or say nothing, and ends the connection where they have no end. */
    private void foreign(long bytes) {
        foreignBytes += bytes;
        if (foreignBytes > LARGEST_FOREIGN_BYTES) {
            breakOff(Attempt.Break.UNKNOWN, "bytes that are no answer");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        breakOff(Attempt.Break.UNKNOWN, answering ? "connection ended in the answer" : "connection ended unanswered");
        pool.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        breakOff(Attempt.Break.UNKNOWN, String.valueOf(cause.getMessage()));
        close();
    }

    private void breakOff(Attempt.Break how, String reason) {
        Attempt current = attempt;
        attempt = null;
        close();
        if (current != null) {
            current.broken(how, reason);
        }
    }
}
