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
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.RequestHeaders;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** A connection of a caller: requests are answered one after the other, in their order. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
final class FrontConnection extends ChannelInboundHandlerAdapter implements AnswerSink {

    /** Requests that a caller may send before the first one is answered. */
    private static final int PIPELINE_LIMIT = 16;

    private static final int BAD_REQUEST = 400;

    private final FrontServer server;
    private final Admission admission;
    private final Deque<FullHttpRequest> queued = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable Exchange exchange;
    private boolean answering;
    private boolean keepAlive;
    private boolean started;
    private boolean closing;
    private long idleSinceMillis = Moment.steadyNow();
    private long bytesSinceMillis = -1;

    FrontConnection(FrontServer server, Admission admission) {
        this.server = server;
        this.admission = admission;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        server.opened(this);
    }

    /** Notes that bytes of a request have come. */
    void bytesCame() {
        if (bytesSinceMillis < 0) {
            bytesSinceMillis = Moment.steadyNow();
        }
    }

    /** Closes the connection if it has been idle, or has been sending one request, for too long. */
    void checkIdle(long now, long idleMillis, long requestMillis) {
        ChannelHandlerContext open = context;
        if (open == null || answering) {
            return;
        }
        boolean slow = bytesSinceMillis >= 0 && now - bytesSinceMillis > requestMillis;
        boolean idle = bytesSinceMillis < 0 && now - idleSinceMillis > idleMillis;
        if (slow || idle) {
            closing = true;
            open.close();
        }
    }

    /** Returns whether a request has come in part. */
    boolean receiving() {
        return bytesSinceMillis >= 0;
    }

    /** Closes the connection as soon as no request is being answered. */
    void closeWhenIdle() {
        closing = true;
        if (!answering && bytesSinceMillis < 0 && context != null) {
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
        bytesSinceMillis = -1;
        if (request.decoderResult().isFailure()) {
            request.release();
            malformed(from);
            return;
        }
        queued.addLast(request);
        if (queued.size() >= PIPELINE_LIMIT) {
            from.channel().config().setAutoRead(false);
        }
        next();
    }

    private void malformed(ChannelHandlerContext from) {
        if (answering || !queued.isEmpty()) {
            closing = true;
            from.close();
            return;
        }
        answering = true;
        keepAlive = false;
        own(BAD_REQUEST, EmptyHttpHeaders.INSTANCE, "");
    }

    private void next() {
        ChannelHandlerContext open = context;
        if (answering
                || open == null
                || !open.channel().isActive()
                || !open.channel().isWritable()) {
            return;
        }
        FullHttpRequest request = queued.pollFirst();
        if (request == null) {
            return;
        }
        if (queued.isEmpty()) {
            open.channel().config().setAutoRead(true);
        }
        answering = true;
        started = false;
        keepAlive = HttpUtil.isKeepAlive(request);
        Exchange begun = admission.admit(request, this).orElse(null);
        // The answer may have been given already, and then this connection may be answering the next request.
        if (begun != null && !begun.isDone()) {
            exchange = begun;
        }
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public void begin(int status, HttpHeaders headers) {
        started = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        connectionHeader(response.headers());
        write(response, true);
    }

    @Override
    public void part(ByteBuf events) {
        write(new DefaultHttpContent(events), true);
    }

    @Override
    public void end() {
        write(LastHttpContent.EMPTY_LAST_CONTENT, true);
        answered();
    }

    @Override
    public void whole(int status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body, headers, EmptyHttpHeaders.INSTANCE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        connectionHeader(response.headers());
        write(response, true);
        answered();
    }

    @Override
    public void own(int status, HttpHeaders headers, String requestId) {
        HttpHeaders own = AnswerSink.headers().set(headers);
        RequestHeaders.setRequestId(own, requestId);
        whole(status, own, Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void abort() {
        closing = true;
        exchange = null;
        if (context != null) {
            context.close();
        }
    }

    private void connectionHeader(HttpHeaders headers) {
        if (closing || server.stopping()) {
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

    private void answered() {
        exchange = null;
        answering = false;
        idleSinceMillis = Moment.steadyNow();
        ChannelHandlerContext open = context;
        if (open == null) {
            return;
        }
        // A stream that began before the stop has not told its caller that the connection ends with it.
        if (!keepAlive || closing) {
            closing = true;
            open.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            open.executor().execute(this::next);
        }
    }

    /** What the caller does not take is not read from the instance either, so that it is not kept here. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        boolean writable = changed.channel().isWritable();
        if (exchange != null) {
            exchange.callerReads(writable);
        }
        if (writable) {
            next();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext from) {
        server.closed(this);
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        Exchange current = exchange;
        exchange = null;
        if (current != null) {
            current.callerLeft();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
        from.close();
    }
}
