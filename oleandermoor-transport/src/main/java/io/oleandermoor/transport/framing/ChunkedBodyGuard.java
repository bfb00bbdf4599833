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

    /** Returns whether a body was malformed, so that nothing behind it on its connection can be told apart. */
    boolean hasFailed() {
        return failed;
    }

    /**
     * Checks one step of a decoder, which takes bytes of one message only.
     *
     * @param buffer the buffer of the decoder
     * @param start the index of the first byte that the step has read
     * @param decoded everything decoded; what the step has added is replaced if the body is malformed
     * @param decodedBefore the number of messages decoded before the step
     */
    void check(ByteBuf buffer, int start, List<Object> decoded, int decodedBefore) {
        if (lines != null && !lines.accept(buffer, start, buffer.readerIndex())) {
            failed = true;
            replaceAddedMessages(decoded, decodedBefore);
        }
        for (Object message : decoded.subList(decodedBefore, decoded.size())) {
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
