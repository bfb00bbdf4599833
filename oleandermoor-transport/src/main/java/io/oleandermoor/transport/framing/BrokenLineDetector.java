package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Finds a line that breaks off between the two bytes of its end and goes on with the status line of another response.
 * Decoders that accept a line feed as the end of a line take both for one line, also where it holds the size of a
 * chunk. Not thread-safe.
 */
public final class BrokenLineDetector {

    private static final String BROKEN_LINE = "\rHTTP/1.";
    private static final byte FIRST_BYTE = '\r';

    /** The last bytes, as far as they are the beginning of what is searched for. */
    private String end = "";

    /** Forgets the bytes before, because they end with a response that is complete. */
    public void reset() {
        end = "";
    }

    /**
     * Inspects the next bytes of a connection.
     *
     * @param bytes the bytes, which are not read from
     * @return whether they complete a line that breaks off
     */
    public boolean inspect(ByteBuf bytes) {
        int first = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), FIRST_BYTE);
        if (end.isEmpty() && first < 0) {
            return false;
        }
        String text = end + bytes.toString(StandardCharsets.ISO_8859_1);
        if (text.contains(BROKEN_LINE)) {
            return true;
        }
        int start = text.lastIndexOf(FIRST_BYTE);
        boolean partial = start >= 0 && BROKEN_LINE.startsWith(text.substring(start));
        end = partial ? text.substring(start) : "";
        return false;
    }
}
