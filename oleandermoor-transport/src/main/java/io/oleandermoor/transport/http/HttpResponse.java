package io.oleandermoor.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the headers, including the content type
 * @param body the body; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

    /** Name of the header for the media type. */
    public static final String CONTENT_TYPE = "Content-Type";

    /** Copies the headers. */
    public HttpResponse {
        headers = Map.copyOf(headers);
    }

    /**
     * Returns a response with a JSON body.
     *
     * @param status the status code
     * @param json the body
     * @return the response
     */
    public static HttpResponse json(int status, String json) {
        return new HttpResponse(
                status, Map.of(CONTENT_TYPE, "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a response with a plain-text body.
     *
     * @param status the status code
     * @param text the body
     * @return the response
     */
    public static HttpResponse text(int status, String text) {
        return new HttpResponse(
                status, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"), text.getBytes(StandardCharsets.UTF_8));
    }
}
