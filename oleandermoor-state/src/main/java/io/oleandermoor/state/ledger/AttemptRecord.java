package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** State and replay buffer of one attempt in the ledger. Guarded by the lock of the ledger. */
final class AttemptRecord {

    /** Value of {@link #detachedAtMillis} while the entry is connected. */
    static final long ATTACHED = Long.MAX_VALUE;

    final AttemptKey key;
    final boolean repeatable;
    AttemptState state;
    NotRunReason reason = NotRunReason.UNSPECIFIED;

    @Nullable
    InstanceId entry;

    @Nullable
    AttemptResult result;

    long endedAtMillis;
    long detachedAtMillis = ATTACHED;
    boolean replayDropped;
    private @Nullable ArrayDeque<TextChunk> chunks;
    private int nextOffset;
    private int bufferedBytes;

    AttemptRecord(AttemptKey key, boolean repeatable, AttemptState state, int resumeOffset) {
        this.key = key;
        this.repeatable = repeatable;
        this.state = state;
        this.nextOffset = resumeOffset;
    }

    int bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns whether the upstream has generated a chunk, even if the chunk is no longer buffered. */
    boolean hasChunks() {
        return chunks != null;
    }

    /** Appends a chunk, removes the oldest chunks beyond the limit and returns the change of the buffered size. */
    int appendChunk(TextChunk chunk, int limit) {
        if (chunks == null) {
            chunks = new ArrayDeque<>();
        }
        int before = bufferedBytes;
        chunks.add(chunk);
        bufferedBytes += chunk.text().length();
        nextOffset = chunk.endOffset();
        while (bufferedBytes > limit && !chunks.isEmpty()) {
            bufferedBytes -= chunks.removeFirst().text().length();
        }
        return bufferedBytes - before;
    }

    int setResult(AttemptResult newResult, int limit) {
        int length = newResult.body().length();
        if (bufferedBytes + length > limit) {
            replayDropped = true;
            return dropReplay();
        }
        result = newResult;
        bufferedBytes += length;
        return length;
    }

    /** Drops the replay buffer and returns the change of the buffered size. */
    int dropReplay() {
        int before = bufferedBytes;
        chunks = null;
        result = null;
        replayDropped = true;
        bufferedBytes = 0;
        return -before;
    }

    int nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the chunks from an offset, or null if the offset is neither the start of a buffered chunk nor the end.
     */
    @Nullable
    List<TextChunk> chunksFrom(int offset) {
        if (replayDropped) {
            return null;
        }
        if (offset == nextOffset) {
            return List.of();
        }
        List<TextChunk> found = new ArrayList<>();
        if (chunks != null) {
            for (TextChunk chunk : chunks) {
                if (chunk.offset() >= offset) {
                    found.add(chunk);
                }
            }
        }
        return found.isEmpty() || found.get(0).offset() != offset ? null : found;
    }
}
