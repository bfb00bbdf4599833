package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts the bytes of an event stream into whole events, so that a stream that breaks off within an event can go on at
 * another instance. Events that were delivered before are left out. Not safe for use by several threads.
 */
final class ResumableEventStream {

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

    private final ByteBuf buffer = Unpooled.buffer(256);
    private long lastEventId;

    /**
     * Creates a stream.
     *
     * @param lastEventId the event after which the stream goes on, or -1 at its start
     */
    ResumableEventStream(long lastEventId) {
        this.lastEventId = lastEventId;
    }

    long lastEventId() {
        return lastEventId;
    }

    /** Returns whether all bytes so far formed whole events. */
    boolean isAtEventBoundary() {
        return !buffer.isReadable();
    }

    /** Starts again at another instance. */
    void resume() {
        buffer.clear();
    }

    /** Returns whether an event grew beyond what any instance sends. */
    boolean isEventTooLarge() {
        return buffer.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /** Takes bytes and returns the whole events in them that are new. */
    ByteBuf takeNewEvents(ByteBuf bytes) {
        buffer.writeBytes(bytes);
        ByteBuf whole = Unpooled.buffer(buffer.readableBytes());
        int end = findEventEnd();
        while (end >= 0) {
            long id = parseEventId(buffer.readerIndex(), end);
            if (id < 0 || id > lastEventId) {
                whole.writeBytes(buffer, buffer.readerIndex(), end - buffer.readerIndex());
                lastEventId = Math.max(id, lastEventId);
            }
            buffer.readerIndex(end);
            end = findEventEnd();
        }
        buffer.discardReadBytes();
        return whole;
    }

    /** Returns the index after the empty line that ends the next event, or -1. */
    private int findEventEnd() {
        for (int index = buffer.readerIndex(); index < buffer.writerIndex() - 1; index++) {
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
        return -1;
    }

    private long parseEventId(int start, int end) {
        int line = start;
        while (line < end) {
            int lineEnd = buffer.indexOf(line, end, (byte) '\n');
            if (startsWithId(line, lineEnd)) {
                return parseNumber(line + ID_FIELD.length, lineEnd);
            }
            line = lineEnd + 1;
        }
        return -1;
    }

    private boolean startsWithId(int line, int lineEnd) {
        if (lineEnd - line < ID_FIELD.length) {
            return false;
        }
        for (int index = 0; index < ID_FIELD.length; index++) {
            if (buffer.getByte(line + index) != ID_FIELD[index]) {
                return false;
            }
        }
        return true;
    }

    private long parseNumber(int from, int to) {
        long value = 0;
        boolean digits = false;
        for (int index = from; index < to; index++) {
            byte each = buffer.getByte(index);
            if (each >= '0' && each <= '9') {
                value = value * 10 + each - '0';
                digits = true;
            } else if (digits) {
                break;
            }
        }
        return digits ? value : -1;
    }
}
