package io.oleandermoor.transport.framing;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks decoded response heads. */
public final class ResponseHeads {

    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHeads() {}

    /**
     * Returns the text of a head that contains the status line of another response. A response that breaks off within
     * its head, followed by another one, is decoded as one head: the line in which the first one breaks off goes on
     * with the status line of the second one.
     *
     * @param response the decoded head
     * @return the status with the reason phrase, or the header line, that contains the second status line, empty if the
     *     head is that of one response
     */
    public static Optional<String> findSecondStatusLine(HttpResponse response) {
        String reason = response.status().reasonPhrase();
        if (containsStatusLine(reason)) {
            return Optional.of(response.status().toString());
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return Optional.of(header.getKey() + ": " + header.getValue());
            }
        }
        return Optional.empty();
    }

    private static boolean containsStatusLine(String text) {
        int start = text.indexOf(PROTOCOL);
        if (start < 0) {
            return false;
        }
        Matcher matcher = STATUS_LINE.matcher(text);
        return matcher.find(start);
    }
}
