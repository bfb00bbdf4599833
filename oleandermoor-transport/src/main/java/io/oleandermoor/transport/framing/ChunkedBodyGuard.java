package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Replaces what a decoder makes of a body in malformed chunks by a malformed end of the body. Not thread-safe. */
final class ChunkedBodyGuard {

    private @Nullable ChunkSizeLines lines;
    private boolean failed;

    /** A step of a decoder, which takes bytes of one message only. */
    interface Step {

        /** Reads bytes and adds what they decode to. */
        void run() throws Exception;
    }

    /**
     * Runs a step of a decoder and checks the bytes that it has read. Once a body was malformed, nothing behind it on
     * its connection can be told apart, and all bytes are discarded instead.
     *
     * @param buffer the buffer that the step reads
     * @param decoded the list that the step adds to
     * @param step the step
     */
    void decode(ByteBuf buffer, List<Object> decoded, Step step) throws Exception {
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        int decodedBefore = decoded.size();
        step.run();
        if (lines != null && !lines.accept(buffer, start, buffer.readerIndex())) {
            failed = true;
            replaceAddedMessages(decoded, decodedBefore);
        }
        for (int index = decodedBefore; index < decoded.size(); index++) {
            Object message = decoded.get(index);
            if (message instanceof HttpMessage head) {
                lines = HttpUtil.isTransferEncodingChunked(head) ? new ChunkSizeLines() : null;
            }
            if (message instanceof LastHttpContent) {
                lines = null;
            }
        }
    }

    private static void replaceAddedMessages(List<Object> decoded, int decodedBefore) {
        while (decoded.size() > decodedBefore) {
            Object added = decoded.remove(decoded.size() - 1);
            if (added instanceof HttpContent content && content.decoderResult().isFailure()) {
                decoded.add(content);
                return;
            }
            ReferenceCountUtil.release(added);
        }
        DefaultLastHttpContent malformed = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        malformed.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("malformed size of a chunk")));
        decoded.add(malformed);
    }
}
