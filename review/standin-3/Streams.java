import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** What callers and replicas of streams share: a configuration with one route, requests, answers and their reading. */
final class Streams {

    static final String MODELS = "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";

    private Streams() {}

    /** Returns a configuration with one route of streams that may be resumed and go to two replicas at most. */
    static String configuration() {
        return configuration(7, List.of("m0"));
    }

    /** Returns the same configuration in a version, with models of the size that they have on the site. */
    static String configuration(int version, List<String> models) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-proof\",\"host\":\"shop.example\","
                + "\"path-prefix\":\"/proof/\",\"kind\":\"streaming\",\"timeout-ms\":12000,"
                + "\"target-latency-ms\":500,\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,"
                + "\"allow-anonymous\":false,\"sticky-sessions\":true,\"resumable\":true,\"gap-target-ms\":150}],"
                + "\"services\":[{\"name\":\"llm\",\"health-path\":\"/health\",\"max-connections\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":158517,"
                + "\"kv-token-bytes\":163840,\"link-mbps\":1100000.0,\"stride\":6,\"at-most\":12,\"host-mb\":140000.0,"
                + "\"disk-mb\":400000.0,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,"
                + "\"models\":["
                + String.join(
                        ",",
                        models.stream()
                                .map(name -> "{\"name\":\"" + name + "\",\"weights-mb\":72700.0,\"load-time-s\":5.8,"
                                        + "\"adapters\":0,\"adapter-mb\":66.0,\"warm-s\":0.63,\"disk-s\":1.2}")
                                .toList())
                + "],\"weights-mb\":200000.0,\"adapter-slots\":8,\"loads-per-s\":1.4}}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t-1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}";
    }

    /** Writes the head of an answer. */
    static void begin(OutputStream output, String id) throws IOException {
        output.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s-" + id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Writes one event. */
    static void event(OutputStream output, long number) throws IOException {
        String text = "id: " + number + "\ndata: token-" + number + "\n\n";
        output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Writes the end of an answer. */
    static void end(OutputStream output) throws IOException {
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Sends a request on a connection of its own and returns what came of it. */
    static String send(Entry entry, String id, String body, String prompt) {
        return send(entry, id, body, prompt, "m0");
    }

    /** Sends a request for a model, or an adapter of it. */
    static String send(Entry entry, String id, String body, String prompt, String model) {
        int events = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), entry.callerPort), 1_000);
            socket.setSoTimeout(13_000);
            socket.getOutputStream()
                    .write(("POST /proof/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                                    + "\r\nDeadline-Ms: 12000\r\nAuthorization: Token key-1\r\nModel: " + model
                                    + "\r\nToken-Count: 1210,120\r\nPrompt-Prefix: " + prompt + "\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(input);
            if (head == null) {
                return "the connection ends before the answer";
            }
            if (!head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                return head.status() + ", Retry-After " + head.header("retry-after");
            }
            while (true) {
                byte[] chunk = Http.readChunk(input);
                if (chunk.length == 0) {
                    return head.status() + ", whole, " + events + " events";
                }
                events += new String(chunk, StandardCharsets.ISO_8859_1).split("data:", -1).length - 1;
            }
        } catch (IOException exception) {
            return "broken off after " + events + " events: " + exception.getMessage();
        }
    }
}
