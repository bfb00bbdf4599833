package io.oleandermoor.gateway.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * An answer that an instance sends in pieces, with a pause behind each. The instance does not notice that the
 * connection is closed, and runs the request to its end.
 *
 * @param framing how the end of the answer is marked
 * @param pieces the number of pieces
 * @param pauseMillis the pause behind each piece, in milliseconds
 * @param piecesBeforeCrash the number of pieces of a run after which an instance ends that a request crashes
 */
public record GradualAnswer(Framing framing, int pieces, long pauseMillis, int piecesBeforeCrash) {

    /** Determines how the end of an answer is marked. */
    public enum Framing {
        /** A stream of events in chunks, which starts behind the event that Last-Event-Id names. */
        STREAM,
        /** A stream of events that ends with its connection. */
        UNFRAMED_STREAM,
        /** A body with a length. */
        LENGTH,
        /** A body that ends with its connection. */
        UNFRAMED;

        private boolean isStream() {
            return this == STREAM || this == UNFRAMED_STREAM;
        }

        private boolean endsWithConnection() {
            return this == UNFRAMED || this == UNFRAMED_STREAM;
        }
    }

    /** What becomes of the instance when an answer has ended. */
    enum End {
        /** The connection stays open. */
        KEPT,
        /** The connection is closed. */
        CLOSED,
        /** The instance ends. */
        CRASH
    }

    /** Sends the answer to a request. */
    End send(OutputStream output, Map<String, String> request, boolean crashing) {
        int first = framing.isStream() ? Integer.parseInt(request.getOrDefault("last-event-id", "0")) + 1 : 1;
        write(output, head(request.getOrDefault("request-id", "")));
        for (int piece = first; piece <= pieces; piece++) {
            write(output, text(piece));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
            if (crashing && piece - first + 1 >= piecesBeforeCrash) {
                return End.CRASH;
            }
        }
        if (framing == Framing.STREAM) {
            write(output, "0\r\n\r\n");
        }
        return framing.endsWithConnection() ? End.CLOSED : End.KEPT;
    }

    private String head(String requestId) {
        String common = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Stamp: s\r\n";
        return switch (framing) {
            case STREAM -> common + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            case UNFRAMED_STREAM -> common + "Content-Type: text/event-stream\r\n\r\n";
            case LENGTH -> common + "Content-Length: " + pieces * text(1).length() + "\r\n\r\n";
            case UNFRAMED -> common + "\r\n";
        };
    }

    private String text(int piece) {
        String event = "id: " + piece + "\ndata: " + piece + "\n\n";
        return switch (framing) {
            case STREAM -> Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            case UNFRAMED_STREAM -> event;
            case LENGTH, UNFRAMED -> "piece " + piece % 10 + "\n";
        };
    }

    private static void write(OutputStream output, String text) {
        try {
            output.write(text.getBytes(StandardCharsets.US_ASCII));
            output.flush();
        } catch (IOException exception) {
            // The entry has closed the connection, which the instance does not notice.
        }
    }
}
