package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
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
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Handles one caller connection. Pipelined requests are processed one at a time, in order of arrival. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the channel handlers; tasks run on the loop.
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {

    /** Number of queued requests at which reading from the connection pauses until the queue is empty. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

    /** Time for which what follows a malformed request is read and discarded before its connection closes. */
    private static final long DISCARD_MILLIS = 1_000;

    private static final int BAD_REQUEST = 400;
    private static final int NO_STATUS = 0;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_000;

    private final CallerServer server;
    private final Admission admission;
    private final String address;
    private final RequestMemory requestMemory;
    private final Deque<FullHttpRequest> pendingRequests = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable RequestExchange exchange;
    private boolean responding;
    private boolean keepAlive;
    private boolean streamStarted;
    private boolean closing;
    /** Whether the response after which the connection closes has been written. */
    private boolean ended;

    private boolean dropped;
    /** Whether a request was refused before its end, behind which no request is read. */
    private boolean refused;
    /** The status of that refusal while earlier responses are due, which precede it. */
    private int dueRefusal = NO_STATUS;
    /** Whether the caller of the request that is being received waits to be asked for its body. */
    private boolean continueDue;

    private long idleSinceMillis = Timestamp.monotonicNowMillis();
    private long receivingSinceMillis = -1;
    /** The size of the body that is being received. */
    private long receivingBodyBytes;
    /** The size of the bodies of all requests that have been received and not been answered. */
    private long unansweredBodyBytes;

    private long currentBodyBytes;

    CallerConnection(CallerServer server, Admission admission, String address) {
        this.server = server;
        this.admission = admission;
        this.address = address;
        this.requestMemory = new RequestMemory(server.memory().open(address, this));
    }

    /** Returns the address of the caller. */
    String address() {
        return address;
    }

    /** Returns the memory for the heads of the requests of this connection. */
    RequestMemory requestMemory() {
        return requestMemory;
    }

    /** Drops what was received and not passed on, and closes the connection after the response that is due. */
    void dropUnserved() {
        closing = true;
        dropped = true;
        requestMemory.dropUnserved();
        pendingRequests.forEach(ReferenceCountUtil::release);
        pendingRequests.clear();
        server.bodies().release(unansweredBodyBytes - currentBodyBytes);
        unansweredBodyBytes = currentBodyBytes;
        ChannelHandlerContext currentContext = context;
        if (currentContext == null) {
            return;
        }
        if (responding) {
            currentContext.channel().config().setAutoRead(false);
            // The decoder holds what was received of the next head.
            if (currentContext.pipeline().get(CallerRequestDecoder.class) != null) {
                currentContext.pipeline().remove(CallerRequestDecoder.class);
            }
        } else {
            currentContext.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        context = handlerContext;
        server.connectionOpened(this);
    }

    /** Records that bytes of a request have arrived. */
    void bytesReceived() {
        if (receivingSinceMillis < 0) {
            receivingSinceMillis = Timestamp.monotonicNowMillis();
        }
    }

    /**
     * Closes the connection if it has been idle, or has been receiving one request, for too long.
     *
     * @param nowMillis the current monotonic time
     * @param idleTimeoutMillis the maximum time without a request
     * @param requestTimeoutMillis the maximum time from the first byte of a request to its last
     */
    void closeIfTimedOut(long nowMillis, long idleTimeoutMillis, long requestTimeoutMillis) {
        ChannelHandlerContext currentContext = context;
        if (currentContext == null || responding) {
            return;
        }
        boolean slow = receivingSinceMillis >= 0 && nowMillis - receivingSinceMillis > requestTimeoutMillis;
        boolean idle = receivingSinceMillis < 0 && nowMillis - idleSinceMillis > idleTimeoutMillis;
        if (slow || idle) {
            closing = true;
            currentContext.close();
        }
    }

    /** Releases the memory of a body that was received in part and is not kept. */
    void releaseReceivedBody() {
        server.bodies().release(receivingBodyBytes);
        receivingBodyBytes = 0;
    }

    /** Returns the size of the body that is being received, as far as it has arrived. */
    long receivingBodyBytes() {
        return receivingBodyBytes;
    }

    /** Reserves memory for a part of the body that is being received. Returns whether there is enough. */
    boolean reserveBody(int bytes) {
        if (!server.bodies().tryReserve(bytes, receivingBodyBytes + bytes)) {
            return false;
        }
        receivingBodyBytes += bytes;
        return true;
    }

    /**
     * Refuses the request that is being received, and closes the connection after the rest of it has been discarded. If
     * an earlier request is not answered yet, the connection closes after the response that is due instead.
     */
    void refuseUnread() {
        server.logRefusedBody(receivingBodyBytes);
        releaseReceivedBody();
        closing = true;
        if (!responding && pendingRequests.isEmpty()) {
            writeFullResponse(
                    SERVICE_UNAVAILABLE,
                    ResponseWriter.retryAfterHeaders(UNAVAILABLE_RETRY_AFTER_MILLIS),
                    Unpooled.EMPTY_BUFFER);
        }
    }

    /** Records that the rest of a refused request has been discarded. */
    void unreadDiscarded() {
        receivingSinceMillis = -1;
        if (dueRefusal == NO_STATUS) {
            closeWhenIdle();
        }
    }

    /**
     * Refuses the request that is being received, after the responses to earlier ones. The connection closes once the
     * rest of the request has been discarded, and no request behind it is read.
     *
     * @param status the status of the refusal
     * @param cause the reason for the log
     */
    void refuseReceiving(int status, String cause) {
        server.logRefusedRequest(address, status, cause);
        releaseReceivedBody();
        refused = true;
        dueRefusal = status;
        writeDueRefusal();
    }

    /** Asks the caller for a body that it may withhold until then, after the responses to earlier requests. */
    void requestBody() {
        continueDue = true;
        writeDueContinue();
    }

    private void writeDueContinue() {
        if (continueDue && !responding && pendingRequests.isEmpty()) {
            continueDue = false;
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE), true);
        }
    }

    private void writeDueRefusal() {
        ChannelHandlerContext currentContext = context;
        if (dueRefusal == NO_STATUS || responding || !pendingRequests.isEmpty() || currentContext == null) {
            return;
        }
        int status = dueRefusal;
        dueRefusal = NO_STATUS;
        closing = true;
        ended = true;
        writeFullResponse(status, ResponseWriter.newHeaders(), Unpooled.EMPTY_BUFFER);
        if (status == BAD_REQUEST) {
            currentContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> closeAfterDiscarding());
        } else if (receivingSinceMillis < 0) {
            currentContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Ends the connection towards the caller now, and closes it once the caller has ended its side, or after a while.
     * Closing it with unread bytes would reset it, and the response could be lost (RFC 9112, section 9.6).
     */
    private void closeAfterDiscarding() {
        ChannelHandlerContext currentContext = context;
        if (currentContext != null && currentContext.channel() instanceof DuplexChannel channel && channel.isActive()) {
            channel.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether a request has been received in part. */
    boolean isReceiving() {
        return receivingSinceMillis >= 0;
    }

    /** Closes the connection now if no request is being received or answered, and otherwise after the response. */
    void closeWhenIdle() {
        closing = true;
        if (!responding && pendingRequests.isEmpty() && receivingSinceMillis < 0 && context != null) {
            context.close();
        }
    }

    void closeNow() {
        if (context != null) {
            context.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        receivingSinceMillis = -1;
        if (dropped || refused || ended) {
            request.release();
            return;
        }
        if (request.decoderResult().isFailure()) {
            String cause = request.decoderResult().cause().toString();
            request.release();
            refuseReceiving(BAD_REQUEST, cause);
            return;
        }
        continueDue = false;
        unansweredBodyBytes += receivingBodyBytes;
        receivingBodyBytes = 0;
        requestMemory.requestReceived();
        pendingRequests.addLast(request);
        if (pendingRequests.size() >= MAXIMUM_PIPELINED_REQUESTS) {
            handlerContext.channel().config().setAutoRead(false);
        }
        handleNext();
    }

    private void handleNext() {
        ChannelHandlerContext currentContext = context;
        if (responding
                || ended
                || currentContext == null
                || !currentContext.channel().isActive()
                || !currentContext.channel().isWritable()) {
            return;
        }
        FullHttpRequest request = pendingRequests.pollFirst();
        if (request == null) {
            writeDueRefusal();
            writeDueContinue();
            return;
        }
        if (pendingRequests.isEmpty()) {
            currentContext.channel().config().setAutoRead(true);
        }
        requestMemory.serviceBegun();
        responding = true;
        currentBodyBytes = request.content().readableBytes();
        streamStarted = false;
        keepAlive = HttpUtil.isKeepAlive(request);
        RequestExchange admitted = admission.admit(request, this).orElse(null);
        // The request may already be answered, and the connection may be processing the next one.
        if (admitted != null && !admitted.isFinished()) {
            exchange = admitted;
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
        writeFullResponse(status, headers, body);
        responseCompleted();
    }

    private void writeFullResponse(int status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body, headers, EmptyHttpHeaders.INSTANCE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        setConnectionHeader(response.headers());
        write(response, true);
    }

    @Override
    public void writeLocalResponse(int status, HttpHeaders headers, String requestId) {
        HttpHeaders localHeaders = ResponseWriter.newHeaders().set(headers);
        RequestHeaders.setRequestId(localHeaders, requestId);
        writeResponse(status, localHeaders, Unpooled.EMPTY_BUFFER);
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
        ChannelHandlerContext currentContext = context;
        if (currentContext == null) {
            ReferenceCountUtil.release(message);
        } else if (flush) {
            currentContext.writeAndFlush(message, currentContext.voidPromise());
        } else {
            currentContext.write(message, currentContext.voidPromise());
        }
    }

    private void responseCompleted() {
        exchange = null;
        responding = false;
        requestMemory.serviceEnded();
        server.bodies().release(currentBodyBytes);
        unansweredBodyBytes -= currentBodyBytes;
        currentBodyBytes = 0;
        idleSinceMillis = Timestamp.monotonicNowMillis();
        ChannelHandlerContext currentContext = context;
        if (currentContext == null) {
            return;
        }
        // The head of a stream that began before the stop does not announce that the connection closes afterwards.
        if (!keepAlive || closing) {
            closing = true;
            ended = true;
            currentContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            currentContext.executor().execute(this::handleNext);
        }
    }

    /** Applies backpressure: stops reading from the instance while the caller does not read, to bound the buffers. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        boolean writable = handlerContext.channel().isWritable();
        if (exchange != null) {
            exchange.setCallerReading(writable);
        }
        if (writable) {
            handleNext();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        server.connectionClosed(this);
        pendingRequests.forEach(ReferenceCountUtil::release);
        pendingRequests.clear();
        server.bodies().release(receivingBodyBytes + unansweredBodyBytes);
        receivingBodyBytes = 0;
        unansweredBodyBytes = 0;
        currentBodyBytes = 0;
        RequestExchange current = exchange;
        exchange = null;
        if (current != null) {
            current.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        handlerContext.close();
    }
}
