package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.oleandermoor.state.dispatch.EventId;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that is interrupted within an event can
 * resume at another instance. Skips events that were delivered before. Not thread-safe.
 */
final class ResumableEventStream {

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte COMMENT = ':';
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;

    private final ByteBuf buffer = Unpooled.buffer(256);
    private Optional<EventId> lastEventId;
    private boolean resuming;
    private boolean foreignEventSeen;
    private boolean unnumberedEventTaken;
    /** The index before which the buffer contains no end of an event. */
    private int searchedIndex;

    /**
     * Creates a stream that has received no bytes.
     *
     * @param lastEventId the id of the event after which the stream resumes, empty to start at the beginning
     */
    ResumableEventStream(Optional<EventId> lastEventId) {
        this.lastEventId = lastEventId;
    }

    /** Returns the id of the last event that was taken, or after which the stream resumes; empty if there is none. */
    Optional<EventId> lastEventId() {
        return lastEventId;
    }

    /** Returns whether all bytes received so far form complete events. */
    boolean isAtEventBoundary() {
        return !buffer.isReadable();
    }

    /** Resumes at another instance: discards the incomplete event. */
    void resume() {
        buffer.clear();
        searchedIndex = 0;
        resuming = lastEventId.isPresent();
        foreignEventSeen = false;
    }

    /** Returns whether all events taken so far have ids, without which another run would deliver them again. */
    boolean canResume() {
        return !unnumberedEventTaken;
    }

    /** Returns whether what should resume the stream began with something that has no id, and so is no event of it. */
    boolean isForeignEventSeen() {
        return foreignEventSeen;
    }

    /** Returns the size of the incomplete event, which is kept until it is complete. */
    int incompleteBytes() {
        return buffer.readableBytes();
    }

    /** Returns whether the incomplete event exceeds the maximum size. */
    boolean isEventTooLarge() {
        return buffer.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /** Appends bytes and returns the events that are now complete and were not delivered before. */
    ByteBuf takeNewEvents(ByteBuf bytes) {
        buffer.writeBytes(bytes);
        int end = findEventEnd();
        ByteBuf newEvents = end < 0 ? Unpooled.EMPTY_BUFFER : Unpooled.buffer(buffer.readableBytes());
        while (end >= 0) {
            Optional<EventId> id = parseEventId(buffer.readerIndex(), end);
            boolean comment = buffer.getByte(buffer.readerIndex()) == COMMENT;
            foreignEventSeen |= resuming && id.isEmpty() && !comment;
            resuming &= comment;
            if (foreignEventSeen) {
                break;
            }
            if (id.isEmpty() || isNew(id.get())) {
                newEvents.writeBytes(buffer, buffer.readerIndex(), end - buffer.readerIndex());
                lastEventId = id.or(() -> lastEventId);
                unnumberedEventTaken |= id.isEmpty() && !comment;
            }
            buffer.readerIndex(end);
            end = findEventEnd();
        }
        searchedIndex -= buffer.readerIndex();
        buffer.discardReadBytes();
        return newEvents;
    }

    private boolean isNew(EventId id) {
        return lastEventId.isEmpty() || id.isAfter(lastEventId.get());
    }

    /** Returns the index after the empty line that ends the next event, or -1 if the event is incomplete. */
    private int findEventEnd() {
        int from = Math.max(searchedIndex, buffer.readerIndex());
        for (int index = from; index < buffer.writerIndex() - 1; index++) {
            if (buffer.getByte(index) == '\n') {
                byte next = buffer.getByte(index + 1);
                if (next == '\n') {
                    return index + 2;
                }
                if (next == '\r' && index + 2 < buffer.writerIndex() && buffer.getByte(index + 2) == '\n') {
                    return index + 3;
                }
            }
        }
        // The last two bytes may be the beginning of an empty line.
        searchedIndex = Math.max(from, buffer.writerIndex() - 2);
        return -1;
    }

    /** Returns the id of an event; empty if it has none or one that is no whole number. */
    private Optional<EventId> parseEventId(int start, int end) {
        int lineStart = start;
        while (lineStart < end) {
            int lineEnd = buffer.indexOf(lineStart, end, (byte) '\n');
            if (startsWithId(lineStart, lineEnd)) {
                int valueStart = lineStart + ID_FIELD.length;
                String value = buffer.toString(valueStart, lineEnd - valueStart, StandardCharsets.ISO_8859_1);
                return EventId.parse(value.trim());
            }
            lineStart = lineEnd + 1;
        }
        return Optional.empty();
    }

    private boolean startsWithId(int lineStart, int lineEnd) {
        if (lineEnd - lineStart < ID_FIELD.length) {
            return false;
        }
        for (int index = 0; index < ID_FIELD.length; index++) {
            if (buffer.getByte(lineStart + index) != ID_FIELD[index]) {
                return false;
            }
        }
        return true;
    }
}
