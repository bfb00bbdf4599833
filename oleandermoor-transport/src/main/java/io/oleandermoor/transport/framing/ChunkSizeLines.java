package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;

/**
 * Checks that each chunk of a body begins with its size alone, or with its size and extensions (RFC 9112, section 7.1).
 * Netty's decoder skips white space and control characters in front of a size and everything that follows one behind
 * it, where other parsers may read another size. Not thread-safe.
 */
final class ChunkSizeLines {

    private static final int RADIX = 16;
    private static final int LINE_END_BYTES = 2;

    /** What the next byte of the body belongs to. */
    private enum Part {
        SIZE,
        /** White space behind a size, which only an extension may follow. */
        PADDING,
        EXTENSION,
        LINE_FEED,
        DATA,
        TRAILER
    }

    private Part part = Part.SIZE;
    private int digits;
    private long size;
    private long remainingBytes;

    /**
     * Checks the next bytes of the body.
     *
     * @param bytes contains the bytes, which are not read from
     * @param start the index of the first byte
     * @param end the index behind the last byte
     * @return whether all lines with sizes are well-formed as far as they have arrived
     */
    boolean accept(ByteBuf bytes, int start, int end) {
        int index = start;
        while (index < end && part != Part.TRAILER) {
            if (part == Part.DATA) {
                index += skipData(end - index);
            } else if (!acceptLineByte(bytes.getByte(index++))) {
                return false;
            }
        }
        return true;
    }

    private int skipData(int availableBytes) {
        int skipped = (int) Math.min(remainingBytes, availableBytes);
        remainingBytes -= skipped;
        if (remainingBytes == 0) {
            part = Part.SIZE;
            digits = 0;
            size = 0;
        }
        return skipped;
    }

    private boolean acceptLineByte(byte value) {
        return switch (part) {
            case SIZE -> acceptDigit(value) || (digits > 0 && (acceptPadding(value) || acceptLineEnd(value)));
            case PADDING -> acceptPadding(value);
            case LINE_FEED -> value == '\n' && endLine();
            // The decoder checks the extensions.
            default -> value != '\n' || endLine();
        };
    }

    private boolean acceptDigit(byte value) {
        int digit = value < 0 ? -1 : Character.digit(value, RADIX);
        if (digit < 0) {
            return false;
        }
        digits++;
        size = size * RADIX + digit;
        return size <= Integer.MAX_VALUE;
    }

    private boolean acceptPadding(byte value) {
        if (value == ';') {
            part = Part.EXTENSION;
            return true;
        }
        boolean space = value == ' ' || value == '\t';
        part = space ? Part.PADDING : part;
        return space;
    }

    private boolean acceptLineEnd(byte value) {
        part = Part.LINE_FEED;
        return value == '\r';
    }

    private boolean endLine() {
        part = size == 0 ? Part.TRAILER : Part.DATA;
        remainingBytes = size + LINE_END_BYTES;
        return true;
    }
}
