package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Collects the parts of a body into larger ones, because a small part costs many times its bytes. */
final class BodyParts {

    /** The overhead of a part, of some hundred bytes, is small beside this size. */
    private static final int COLLECTED_BYTES = 8 << 10;

    private @Nullable ByteBuf collected;

    /**
     * Copies a part, which otherwise keeps the larger buffer that it was received with.
     *
     * @param allocator allocates the copy
     * @param part the part, which the caller of this method still owns
     * @return the parts collected so far, if they are to be passed on
     */
    Optional<ByteBuf> add(ByteBufAllocator allocator, ByteBuf part) {
        ByteBuf current = collected;
        if (current == null) {
            current = allocator.buffer(part.readableBytes());
            collected = current;
        }
        current.writeBytes(part);
        return current.readableBytes() >= COLLECTED_BYTES ? take() : Optional.empty();
    }

    /** Returns what has been collected and not been passed on; passes ownership to the caller. */
    Optional<ByteBuf> take() {
        ByteBuf current = collected;
        collected = null;
        return Optional.ofNullable(current);
    }

    /** Releases what has been collected. */
    void release() {
        take().ifPresent(ByteBuf::release);
    }
}
