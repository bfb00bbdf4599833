package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.transport.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * An error as the caller sees it.
 *
 * @param status the HTTP status
 * @param code a stable code for programs
 * @param message an explanation for people
 * @param outcome what became of the request: {@code not_run}, {@code ran} or {@code unknown}
 * @param retryAfterMillis when the caller may try again, if that is known
 */
record CallerError(int status, String code, String message, String outcome, OptionalLong retryAfterMillis) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long MILLIS_PER_SECOND = 1000;

    static CallerError notRun(int status, String code, String message) {
        return new CallerError(status, code, message, "not_run", OptionalLong.empty());
    }

    static CallerError unknown(int status, String code, String message) {
        return new CallerError(status, code, message, "unknown", OptionalLong.empty());
    }

    CallerError retryAfter(long millis) {
        return new CallerError(status, code, message, outcome, OptionalLong.of(millis));
    }

    HttpResponse toResponse() {
        Map<String, String> headers = new HashMap<>();
        headers.put(HttpResponse.CONTENT_TYPE, "application/json");
        retryAfterMillis.ifPresent(millis ->
                headers.put("Retry-After", Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
        return new HttpResponse(status, headers, toJson().getBytes(StandardCharsets.UTF_8));
    }

    String toJson() {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", code).put("message", message).put("outcome", outcome);
        retryAfterMillis.ifPresent(millis -> error.put("retry_after_ms", millis));
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("an error can always be written as JSON", exception);
        }
    }
}
