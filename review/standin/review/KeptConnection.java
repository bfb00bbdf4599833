package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection that stays open for many requests, as PROTOCOL.md says clients keep theirs. */
final class KeptConnection implements AutoCloseable {

    private final Socket socket;
    private final InputStream input;

    KeptConnection(String address) throws IOException {
        socket = Entry.connect(address, 0);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its answer; status 0 if none arrives in time. */
    Caller.Answer send(String head, byte[] body, int timeoutMillis) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(body);
        socket.setSoTimeout(timeoutMillis);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
        return Caller.read(input);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
