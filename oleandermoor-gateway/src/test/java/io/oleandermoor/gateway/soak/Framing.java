package io.oleandermoor.gateway.soak;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** How the end of a response body is marked. */
enum Framing {
    /** By a length in the head. */
    LENGTH {
        @Override
        String header(String body) {
            return "Content-Length: " + body.length();
        }

        @Override
        String encode(List<String> parts) {
            return String.join("", parts);
        }
    },
    /** By an empty chunk. */
    CHUNKED {
        @Override
        String header(String body) {
            return "Transfer-Encoding: chunked";
        }

        @Override
        String encode(List<String> parts) {
            StringBuilder text = new StringBuilder();
            for (String part : parts) {
                if (!part.isEmpty()) {
                    text.append(Integer.toHexString(part.length()))
                            .append("\r\n")
                            .append(part)
                            .append("\r\n");
                }
            }
            return text.append("0\r\n\r\n").toString();
        }
    },
    /** By the end of the connection. */
    UNTIL_CLOSE {
        @Override
        String header(String body) {
            return "Content-Type: text/plain";
        }

        @Override
        String encode(List<String> parts) {
            return String.join("", parts);
        }
    };

    abstract String header(String body);

    abstract String encode(List<String> parts);

    /** Draws a framing, seldom the one that costs the connection. */
    static Framing draw(UniformRandomProvider random) {
        if (random.nextInt(10) == 0) {
            return UNTIL_CLOSE;
        }
        return random.nextBoolean() ? LENGTH : CHUNKED;
    }

    /**
     * Returns a complete response.
     *
     * @param status the status line without the version
     * @param stamp the signature
     * @param requestId the id, empty for none
     * @param parts the body in the parts in which it is written
     * @param random determines the order of the headers
     */
    String response(String status, String stamp, String requestId, List<String> parts, UniformRandomProvider random) {
        List<String> headers = new ArrayList<>();
        headers.add("Response-Stamp: " + stamp);
        if (random.nextBoolean()) {
            headers.add("Keep-Alive: timeout=2");
        }
        headers.add(random.nextInt(headers.size() + 1), header(String.join("", parts)));
        if (!requestId.isEmpty()) {
            headers.add(random.nextBoolean() ? 0 : headers.size(), "Request-Id: " + requestId);
        }
        return "HTTP/1.1 " + status + "\r\n" + String.join("\r\n", headers) + "\r\n\r\n" + encode(parts);
    }
}
