package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The path of one entry to one replica. While it is cut, no new connection gets through, and what was sent on an
 * established connection is held up: it arrives when TCP sends it again after the path has healed (0.2 s after the first
 * time, then after twice as long each time), unless its sender has reset the connection.
 */
public final class Link implements Server {

    private static final long FIRST_RETRANSMISSION_MILLIS = 200;

    private final Record record;
    private final String target;
    private volatile long cutMillis = -1;
    private volatile long healedMillis = -1;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;

    public Link(Record record, String target) throws IOException {
        this.record = record;
        this.target = target;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void start() {
        Http.daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    if (isCut()) {
                        record.write("link to %s: a new connection does not get through", target);
                        continue;
                    }
                    Socket server = Entry.connect(target, 0);
                    sockets.add(server);
                    Http.daemon(() -> pump(socket, server, true));
                    Http.daemon(() -> pump(server, socket, false));
                } catch (IOException exception) {
                    // The replica has ended, or the case.
                }
            }
        });
    }

    private boolean isCut() {
        return cutMillis >= 0 && healedMillis < 0;
    }

    public void cut() {
        cutMillis = record.millis();
    }

    public void heal() {
        healedMillis = record.millis();
    }

    private void pump(Socket from, Socket to, boolean fromEntry) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                long readMillis = record.millis();
                if (isCut()) {
                    awaitRetransmission(readMillis);
                    if (fromEntry) {
                        // Throws an exception if the sender has reset the connection, which loses these bytes.
                        from.setSoTimeout(1);
                        byte[] more = new byte[65_536];
                        int next = 0;
                        try {
                            next = input.read(more);
                        } catch (java.net.SocketTimeoutException exception) {
                            // The connection is still open.
                        }
                        from.setSoTimeout(0);
                        record.write(
                                "link to %s: %d bytes sent at %d ms arrive now; their sender %s",
                                target, count, readMillis, next < 0 ? "has closed the connection" : "waits");
                        output.write(buffer, 0, count);
                        if (next > 0) {
                            output.write(more, 0, next);
                        }
                        output.flush();
                        if (next < 0) {
                            break;
                        }
                        count = input.read(buffer);
                        continue;
                    }
                }
                output.write(buffer, 0, count);
                output.flush();
                count = input.read(buffer);
            }
            to.shutdownOutput();
        } catch (IOException exception) {
            if (isCut() || healedMillis >= 0) {
                record.write("link to %s: a connection was reset or has ended", target);
            }
            try {
                to.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    private void awaitRetransmission(long sentMillis) {
        long interval = FIRST_RETRANSMISSION_MILLIS;
        long next = sentMillis + interval;
        while (true) {
            Http.sleep(next - record.millis());
            if (!isCut()) {
                return;
            }
            interval *= 2;
            next += interval;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
