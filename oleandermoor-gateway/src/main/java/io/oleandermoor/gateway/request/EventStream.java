package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts the bytes of an event stream into whole events, so that a stream that breaks off within an event can go on at
 * another instance. Events that were delivered before are left out. Not safe for use by several threads.
 */
final class EventStream {

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final int LARGEST_EVENT_BYTES = 1 << 20;

    private final ByteBuf rest = Unpooled.buffer(256);
    private long lastEventId;

    /**
     * Creates a stream.
     *
     * @param lastEventId the event after which the stream goes on, or -1 at its start
     */
    EventStream(long lastEventId) {
        this.lastEventId = lastEventId;
    }

    long lastEventId() {
        return lastEventId;
    }

    /** Returns whether all bytes so far formed whole events. */
    boolean atBoundary() {
        return !rest.isReadable();
    }

    /** Starts again at another instance. */
    void resume() {
        rest.clear();
    }

    /** Returns whether an event grew beyond what any instance sends. */
    boolean overflown() {
        return rest.readableBytes() > LARGEST_EVENT_BYTES;
    }

    /** Takes bytes and returns the whole events in them that are new. */
    ByteBuf take(ByteBuf bytes) {
        rest.writeBytes(bytes);
        ByteBuf whole = Unpooled.buffer(rest.readableBytes());
        int end = endOfEvent();
        while (end >= 0) {
            long id = id(rest.readerIndex(), end);
            if (id < 0 || id > lastEventId) {
                whole.writeBytes(rest, rest.readerIndex(), end - rest.readerIndex());
                lastEventId = Math.max(id, lastEventId);
            }
            rest.readerIndex(end);
            end = endOfEvent();
        }
        rest.discardReadBytes();
        return whole;
    }

    /** Returns the index after the empty line that ends the next event, or -1. */
    private int endOfEvent() {
        for (int index = rest.readerIndex(); index < rest.writerIndex() - 1; index++) {
            if (rest.getByte(index) == '\n') {
                byte next = rest.getByte(index + 1);
                if (next == '\n') {
                    return index + 2;
                }
                if (next == '\r' && index + 2 < rest.writerIndex() && rest.getByte(index + 2) == '\n') {
                    return index + 3;
                }
            }
        }
        return -1;
    }

    private long id(int start, int end) {
        int line = start;
        while (line < end) {
            int lineEnd = rest.indexOf(line, end, (byte) '\n');
            if (startsWithId(line, lineEnd)) {
                return number(line + ID_FIELD.length, lineEnd);
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
            if (rest.getByte(line + index) != ID_FIELD[index]) {
                return false;
            }
        }
        return true;
    }

    private long number(int from, int to) {
        long value = 0;
        boolean digits = false;
        for (int index = from; index < to; index++) {
            byte each = rest.getByte(index);
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
