package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** A connection of a caller: requests are answered one after the other, in their order. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {

    /** Requests that a caller may send before the first one is answered. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

    private static final int BAD_REQUEST = 400;

    private final CallerServer server;
    private final Admission admission;
    private final Deque<FullHttpRequest> pendingRequests = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable RequestExchange exchange;
    private boolean responding;
    private boolean keepAlive;
    private boolean streamStarted;
    private boolean closing;
    private long idleSinceMillis = Timestamp.monotonicNowMillis();
    private long receivingSinceMillis = -1;

    CallerConnection(CallerServer server, Admission admission) {
        this.server = server;
        this.admission = admission;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        server.connectionOpened(this);
    }

    /** Notes that bytes of a request have come. */
    void bytesReceived() {
        if (receivingSinceMillis < 0) {
            receivingSinceMillis = Timestamp.monotonicNowMillis();
        }
    }

    /** Closes the connection if it has been idle, or has been sending one request, for too long. */
    void closeIfTimedOut(long now, long idleMillis, long requestMillis) {
        ChannelHandlerContext open = context;
        if (open == null || responding) {
            return;
        }
        boolean slow = receivingSinceMillis >= 0 && now - receivingSinceMillis > requestMillis;
        boolean idle = receivingSinceMillis < 0 && now - idleSinceMillis > idleMillis;
        if (slow || idle) {
            closing = true;
            open.close();
        }
    }

    /** Returns whether a request has come in part. */
    boolean isReceiving() {
        return receivingSinceMillis >= 0;
    }

    /** Closes the connection as soon as no request is being answered. */
    void closeWhenIdle() {
        closing = true;
        if (!responding && receivingSinceMillis < 0 && context != null) {
            context.close();
        }
    }

    void closeNow() {
        if (context != null) {
            context.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        receivingSinceMillis = -1;
        if (request.decoderResult().isFailure()) {
            request.release();
            rejectMalformed(from);
            return;
        }
        pendingRequests.addLast(request);
        if (pendingRequests.size() >= MAXIMUM_PIPELINED_REQUESTS) {
            from.channel().config().setAutoRead(false);
        }
        handleNext();
    }

    private void rejectMalformed(ChannelHandlerContext from) {
        if (responding || !pendingRequests.isEmpty()) {
            closing = true;
            from.close();
            return;
        }
        responding = true;
        keepAlive = false;
        writeLocalResponse(BAD_REQUEST, EmptyHttpHeaders.INSTANCE, "");
    }

    private void handleNext() {
        ChannelHandlerContext open = context;
        if (responding
                || open == null
                || !open.channel().isActive()
                || !open.channel().isWritable()) {
            return;
        }
        FullHttpRequest request = pendingRequests.pollFirst();
        if (request == null) {
            return;
        }
        if (pendingRequests.isEmpty()) {
            open.channel().config().setAutoRead(true);
        }
        responding = true;
        streamStarted = false;
        keepAlive = HttpUtil.isKeepAlive(request);
        RequestExchange begun = admission.admit(request, this).orElse(null);
        // The answer may have been given already, and then this connection may be answering the next request.
        if (begun != null && !begun.isFinished()) {
            exchange = begun;
        }
    }

    @Override
    public boolean isStreamStarted() {
        return streamStarted;
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        streamStarted = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(response.headers());
        write(response, true);
    }

    @Override
    public void writeEvents(ByteBuf events) {
        write(new DefaultHttpContent(events), true);
    }

    @Override
    public void endStream() {
        write(LastHttpContent.EMPTY_LAST_CONTENT, true);
        responseCompleted();
    }

    @Override
    public void writeResponse(int status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body, headers, EmptyHttpHeaders.INSTANCE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        setConnectionHeader(response.headers());
        write(response, true);
        responseCompleted();
    }

    @Override
    public void writeLocalResponse(int status, HttpHeaders headers, String requestId) {
        HttpHeaders own = ResponseWriter.newHeaders().set(headers);
        RequestHeaders.requestId(own, requestId);
        writeResponse(status, own, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void abort() {
        closing = true;
        exchange = null;
        if (context != null) {
            context.close();
        }
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (closing || server.isStopping()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void write(Object message, boolean flush) {
        ChannelHandlerContext open = context;
        if (open == null) {
            ReferenceCountUtil.release(message);
        } else if (flush) {
            open.writeAndFlush(message, open.voidPromise());
        } else {
            open.write(message, open.voidPromise());
        }
    }

    private void responseCompleted() {
        exchange = null;
        responding = false;
        idleSinceMillis = Timestamp.monotonicNowMillis();
        ChannelHandlerContext open = context;
        if (open == null) {
            return;
        }
        // A stream that began before the stop has not told its caller that the connection ends with it.
        if (!keepAlive || closing) {
            closing = true;
            open.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            open.executor().execute(this::handleNext);
        }
    }

    /** What the caller does not take is not read from the instance either, so that it is not kept here. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        boolean writable = changed.channel().isWritable();
        if (exchange != null) {
            exchange.setCallerReading(writable);
        }
        if (writable) {
            handleNext();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext from) {
        server.connectionClosed(this);
        pendingRequests.forEach(ReferenceCountUtil::release);
        pendingRequests.clear();
        RequestExchange current = exchange;
        exchange = null;
        if (current != null) {
            current.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
        from.close();
    }
}
