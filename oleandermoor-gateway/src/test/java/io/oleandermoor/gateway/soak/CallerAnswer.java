package io.oleandermoor.gateway.soak;

import java.util.List;

/**
 * What a caller received for a request.
 *
 * @param requestId the id of the request
 * @param path the path of the request
 * @param status the status, 0 if no head was received
 * @param stamps the signatures
 * @param requestIds the ids in the head
 * @param body the body as far as it was received
 * @param complete whether the answer ended as its head announced
 * @param surplus what followed the complete answer on the connection
 */
record CallerAnswer(
        String requestId,
        String path,
        int status,
        List<String> stamps,
        List<String> requestIds,
        String body,
        boolean complete,
        String surplus) {

    private static final int SHOWN_BYTES = 150;

    boolean success() {
        return status / 100 == 2;
    }

    @Override
    public String toString() {
        return "status=" + status + " complete=" + complete + " stamps=" + stamps + " ids=" + requestIds + " body="
                + abbreviate(body) + " surplus=" + abbreviate(surplus);
    }

    /** Returns both ends of a text in one line. */
    static String abbreviate(String text) {
        int length = text.length();
        String shown = length <= 2 * SHOWN_BYTES
                ? text
                : text.substring(0, SHOWN_BYTES) + "[...]" + text.substring(length - SHOWN_BYTES);
        return length + " bytes \"" + shown.replace("\r", "\\r").replace("\n", "\\n") + "\"";
    }
}
