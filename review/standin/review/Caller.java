package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that sends single requests, each on a new connection. */
public final class Caller {

    /** An answer; complete is false if its connection ended within it. Status 0 stands for no answer. */
    public record Answer(int status, Map<String, String> headers, String body, boolean complete) {}

    private Caller() {}

    static int get(String address, String path) throws IOException {
        return send(address, "GET " + path + " HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n", new byte[0], 2_000)
                .status();
    }

    /** Sends a request and reads its answer. */
    public static Answer send(String address, String head, byte[] body, int timeoutMillis) throws IOException {
        try (Socket socket = Entry.connect(address, timeoutMillis)) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.UTF_8));
            all.write(body);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static Answer read(InputStream input) {
        int status = 0;
        Map<String, String> headers = Map.of();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            String line = Http.readLine(input);
            if (line == null) {
                return new Answer(0, headers, "", false);
            }
            status = Integer.parseInt(line.split(" ")[1]);
            headers = Http.readHeaders(input);
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                while (true) {
                    String size = Http.readLine(input);
                    if (size == null) {
                        break;
                    }
                    int length = Integer.parseInt(size.trim(), 16);
                    byte[] chunk = input.readNBytes(length);
                    body.write(chunk);
                    Http.readLine(input);
                    if (length == 0) {
                        complete = true;
                        break;
                    }
                    if (chunk.length < length) {
                        break;
                    }
                }
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                byte[] bytes = input.readNBytes(length);
                body.write(bytes);
                complete = bytes.length == length;
            }
        } catch (IOException exception) {
            // The answer is incomplete.
        }
        return new Answer(status, headers, body.toString(StandardCharsets.UTF_8), complete);
    }

    /** Returns the head of a request. */
    public static String head(
            String method, String path, String id, String key, long deadlineMillis, int bodyBytes, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\n" + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n") + more
                + "Content-Length: " + bodyBytes + "\r\n\r\n";
    }
}
