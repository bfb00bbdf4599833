package io.oleandermoor.gateway.crowd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * Many connections from one address other than that of ordinary callers, which all send the same bytes and read
 * nothing. A connection that the entry closes stays closed.
 */
final class Crowd implements AutoCloseable {

    private static final String ADDRESS = "127.0.0.2";
    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
    private static final int CONNECTIONS_PER_PASS = 50;
    private static final long PASS_MILLIS = 5;
    /** Bounds the time if the entry has stopped reading. */
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(40);

    private final InetSocketAddress target;
    private final int size;
    private final byte[] bytes;
    private final int pieceBytes;
    private final List<Caller> callers = new ArrayList<>();

    /**
     * Creates a crowd that is not connected yet.
     *
     * @param port the port of the entry
     * @param size the number of connections
     * @param bytes what each connection sends
     * @param pieceBytes the number of bytes that a connection sends before the others send theirs
     */
    Crowd(int port, int size, byte[] bytes, int pieceBytes) {
        this.target = new InetSocketAddress("127.0.0.1", port);
        this.size = size;
        this.bytes = bytes;
        this.pieceBytes = pieceBytes;
    }

    /** Connects and sends until every connection has sent everything or is closed, or nothing more is accepted. */
    void send(Runnable afterEachPass) {
        long end = System.nanoTime() + SEND_TIMEOUT.toNanos();
        boolean sending = true;
        while (sending && System.nanoTime() < end) {
            for (int added = 0; added < CONNECTIONS_PER_PASS && callers.size() < size; added++) {
                callers.add(new Caller());
            }
            sending = callers.size() < size;
            for (Caller caller : callers) {
                sending |= caller.sendPiece();
            }
            afterEachPass.run();
            LockSupport.parkNanos(Duration.ofMillis(PASS_MILLIS).toNanos());
        }
    }

    /** Closes each connection whose position is a multiple of a number. */
    void leaveEach(int number) {
        for (int position = 0; position < callers.size(); position += number) {
            callers.get(position).close();
        }
    }

    @Override
    public void close() {
        callers.forEach(Caller::close);
    }

    private final class Caller {

        private final ByteBuffer remaining = ByteBuffer.wrap(bytes);
        private SocketChannel channel;
        private boolean closed;

        Caller() {
            try {
                channel = SocketChannel.open();
                channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
                channel.bind(new InetSocketAddress(ADDRESS, 0));
                channel.configureBlocking(false);
                channel.connect(target);
            } catch (IOException exception) {
                close();
            }
        }

        /** Sends the next piece. Returns whether there is more to send. */
        boolean sendPiece() {
            if (closed || !remaining.hasRemaining()) {
                return false;
            }
            try {
                if (channel.finishConnect()) {
                    int pieceEnd = Math.min(remaining.position() + pieceBytes, bytes.length);
                    channel.write(remaining.limit(pieceEnd));
                    remaining.limit(bytes.length);
                }
            } catch (IOException exception) {
                close();
            }
            return !closed && remaining.hasRemaining();
        }

        void close() {
            closed = true;
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException exception) {
                // The connection is gone either way.
            }
        }
    }
}
