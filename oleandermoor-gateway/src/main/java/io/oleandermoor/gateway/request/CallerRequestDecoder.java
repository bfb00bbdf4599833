package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.oleandermoor.transport.framing.RequestDecoder;
import java.util.List;
import java.util.Queue;

/** Decodes requests, and reports what the head that is being received costs before it is complete. */
final class CallerRequestDecoder extends RequestDecoder {

    /**
     * Memory for a header field beyond its bytes: an entry of the headers, two strings with their arrays, and rounding.
     */
    static final long FIELD_BYTES = 192;
    /** Copies of each byte of a head: the received buffer, the buffer of the line, and the decoded string. */
    static final long COPIES = 3;

    private static final byte LINE_END = '\n';

    private final RequestMemory memory;
    private long headBytes;
    private long headFields;
    private boolean headComplete;
    private boolean requestComplete;
    /** Whether a request was malformed, so that what follows is discarded and costs nothing. */
    private boolean discarding;

    /**
     * Creates a decoder for one connection.
     *
     * @param maximumLineBytes the maximum size of a request line
     * @param maximumHeaderBytes the maximum size of a header section
     * @param maximumChunkBytes the maximum size of a part of a body
     * @param memory is told what the head that is being received costs
     * @param methods gets the method of each request, for the encoder of the responses
     */
    CallerRequestDecoder(
            int maximumLineBytes,
            int maximumHeaderBytes,
            int maximumChunkBytes,
            RequestMemory memory,
            Queue<HttpMethod> methods) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maximumLineBytes)
                        .setMaxHeaderSize(maximumHeaderBytes)
                        .setMaxChunkSize(maximumChunkBytes),
                methods);
        this.memory = memory;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        if (discarding) {
            memory.setHead(0);
            return;
        }
        long unreadBytes = actualReadableBytes();
        if (requestComplete) {
            memory.setHead(unreadBytes * COPIES);
        } else if (!headComplete) {
            memory.setHead(headCost() + unreadBytes * COPIES);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        int start = buffer.readerIndex();
        int messagesBefore = decoded.size();
        super.decode(context, buffer, decoded);
        if (discarding) {
            return;
        }
        if (requestComplete && buffer.readerIndex() > start) {
            beginHead();
        }
        if (!headComplete) {
            headBytes += buffer.readerIndex() - start;
            headFields += countLineEnds(buffer, start, buffer.readerIndex());
        }
        for (int index = messagesBefore; index < decoded.size(); index++) {
            recordMessage(decoded.get(index));
        }
    }

    private void beginHead() {
        headBytes = 0;
        headFields = 0;
        headComplete = false;
        requestComplete = false;
    }

    private void recordMessage(Object message) {
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            discarding = true;
        }
        if (message instanceof HttpRequest) {
            headComplete = true;
            memory.setHead(headCost());
        }
        if (message instanceof LastHttpContent) {
            requestComplete = true;
        }
    }

    private long headCost() {
        return headBytes * COPIES + headFields * FIELD_BYTES;
    }

    private static int countLineEnds(ByteBuf buffer, int start, int end) {
        int count = 0;
        int position = buffer.indexOf(start, end, LINE_END);
        while (position >= 0) {
            count++;
            position = buffer.indexOf(position + 1, end, LINE_END);
        }
        return count;
    }
}
