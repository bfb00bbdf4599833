package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Finds the head of a response within the body of another one. A response that breaks off within its body takes up the
 * bytes of what follows it on its connection, and one without a length takes up all of them. A head counts only with
 * one of the headers that every response has, which tell it from a text about HTTP. Not thread-safe.
 */
public final class EmbeddedHeadDetector {

    private static final int MAXIMUM_HEAD_LENGTH = 2 << 10;
    /** Number of status lines that begin no head, after which a body is not searched further, to bound the time. */
    private static final int MAXIMUM_STATUS_LINES = 64;

    private static final byte FIRST_BYTE = 'H';
    private static final String FIRST_LETTER = "H";
    /** The beginning of a status line, from which on the end of a body counts as one. */
    private static final String PROTOCOL = "HTTP/";

    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] \\d{3}");
    private static final Pattern STATUS_LINE = Pattern.compile(STATUS.pattern() + "(?: [ A-Za-z'-]*+)?\\r?\\n");
    private static final Pattern HEAD_END = Pattern.compile("\\n\\r?\\n");

    private final Pattern identifyingHeader;
    /** The last bytes of the body, from the first one that may begin a head; empty if there is none. */
    private final StringBuilder candidate = new StringBuilder();

    private int statusLines;
    private boolean found;

    private enum Match {
        NONE,
        /** A status line that begins no head with an identifying header. */
        STATUS_LINE,
        /** What may become a head with the next bytes. */
        PARTIAL,
        HEAD
    }

    /**
     * Creates a detector for one body.
     *
     * @param identifyingHeader the pattern from {@link #headerPattern}
     */
    public EmbeddedHeadDetector(Pattern identifyingHeader) {
        this.identifyingHeader = identifyingHeader;
    }

    /**
     * Returns the pattern of the line of a header that identifies a head.
     *
     * @param names the names of headers that every response has
     */
    public static Pattern headerPattern(Collection<String> names) {
        return Pattern.compile(
                "\\n" + names.stream().map(Pattern::quote).collect(Collectors.joining("|", "(?:", "):")),
                Pattern.CASE_INSENSITIVE);
    }

    /** Returns a detector for a body that is not delivered, in which any status line counts as that of a head. */
    public static EmbeddedHeadDetector ofAnyStatusLine() {
        return new EmbeddedHeadDetector(Pattern.compile(""));
    }

    /**
     * Inspects the next part of the body.
     *
     * @param bytes the part, which is not read from
     * @return whether the body as far as it has been seen contains the head of a response
     */
    public boolean inspect(ByteBuf bytes) {
        boolean searching = statusLines < MAXIMUM_STATUS_LINES && (!candidate.isEmpty() || firstByteIndex(bytes) >= 0);
        if (found || !searching) {
            return found;
        }
        candidate.append(bytes.toString(StandardCharsets.ISO_8859_1));
        int start = candidate.indexOf(FIRST_LETTER);
        while (start >= 0 && statusLines < MAXIMUM_STATUS_LINES) {
            Match match = matchAt(start);
            if (match == Match.HEAD) {
                found = true;
                return true;
            }
            if (match == Match.PARTIAL && candidate.length() - start <= MAXIMUM_HEAD_LENGTH) {
                break;
            }
            if (match != Match.NONE) {
                statusLines++;
            }
            start = candidate.indexOf(FIRST_LETTER, start + 1);
        }
        boolean exhausted = start < 0 || statusLines == MAXIMUM_STATUS_LINES;
        candidate.delete(0, exhausted ? candidate.length() : start);
        return false;
    }

    private static int firstByteIndex(ByteBuf bytes) {
        return bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), FIRST_BYTE);
    }

    private Match matchAt(int start) {
        int limit = Math.min(candidate.length(), start + MAXIMUM_HEAD_LENGTH);
        Matcher statusLine = STATUS_LINE.matcher(candidate).region(start, limit);
        if (!statusLine.lookingAt()) {
            return statusLine.hitEnd() ? Match.PARTIAL : Match.NONE;
        }
        int lineEnd = statusLine.end() - 1;
        Matcher headEnd = HEAD_END.matcher(candidate).region(lineEnd, limit);
        boolean complete = headEnd.find();
        int end = complete ? headEnd.start() : limit;
        if (identifyingHeader.matcher(candidate).region(lineEnd, end).find()) {
            return Match.HEAD;
        }
        return complete ? Match.STATUS_LINE : Match.PARTIAL;
    }

    /**
     * Returns whether the body, which is complete according to its framing, ends within the head of a response.
     *
     * @param followingBytes what has arrived behind the body, which is not read from
     */
    public boolean endsWithinHead(ByteBuf followingBytes) {
        if (found || candidate.isEmpty()) {
            return found;
        }
        String end = candidate + followingBytes.toString(StandardCharsets.ISO_8859_1);
        Matcher status = STATUS.matcher(end);
        return status.lookingAt() || (status.hitEnd() && end.startsWith(PROTOCOL));
    }
}
