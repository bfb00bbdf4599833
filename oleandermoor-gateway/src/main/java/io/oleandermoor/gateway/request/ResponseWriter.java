package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.oleandermoor.platform.RequestHeaders;

/** Writes the response to one request. */
interface ResponseWriter {

    /** Returns empty headers. */
    static HttpHeaders newHeaders() {
        return new DefaultHttpHeaders(false);
    }

    /** Returns headers that tell the caller when to return. */
    static HttpHeaders retryAfterHeaders(long millis) {
        HttpHeaders headers = newHeaders();
        RequestHeaders.setRetryAfter(headers, millis);
        return headers;
    }

    /** Returns whether a stream has started, after which no other response can be written. */
    boolean isStreamStarted();

    /** Starts a stream with the status and headers of an instance. */
    void beginStream(int status, HttpHeaders headers);

    /** Writes complete events of a stream; takes ownership of the buffer. */
    void writeEvents(ByteBuf events);

    /** Ends a complete stream. */
    void endStream();

    /** Writes a complete response of an instance; takes ownership of the buffer. */
    void writeResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Writes a response without a body that this entry creates itself. */
    void writeLocalResponse(int status, HttpHeaders headers, String requestId);

    /** Closes the connection so that the caller recognizes the response as incomplete. */
    void abort();
}
