import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads messages of HTTP/1.1 from a socket. */
final class Http {

    private Http() {}

    /** The first line and the headers of a message, with names in lower case. */
    record Head(String first, Map<String, String> headers) {

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads the head of a message; returns null at the end of the connection before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return new Head(first, headers);
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Reads the body of a request, which has a length, chunks or nothing. */
    static byte[] readBody(InputStream input, Head head) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(input);
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.write(chunk);
            }
        }
        String length = head.header("content-length");
        int bytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        byte[] body = input.readNBytes(bytes);
        if (body.length < bytes) {
            throw new EOFException("the connection ended within a body, " + body.length + " of " + bytes + " bytes");
        }
        return body;
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream input) throws IOException {
        String size = readLine(input);
        if (size == null) {
            throw new EOFException("the connection ended between chunks");
        }
        int bytes = Integer.parseInt(size.trim(), 16);
        byte[] chunk = input.readNBytes(bytes);
        if (chunk.length < bytes || readLine(input) == null) {
            throw new EOFException("the connection ended within a chunk");
        }
        return chunk;
    }
}
