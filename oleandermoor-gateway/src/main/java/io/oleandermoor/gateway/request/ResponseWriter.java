package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Where the answer to one request goes. */
interface ResponseWriter {

    /** Returns empty headers. */
    static HttpHeaders newHeaders() {
        return new DefaultHttpHeaders(false);
    }

    /** Returns whether a stream has begun, so that no other answer can be given. */
    boolean isStreamStarted();

    /** Begins a stream with the head that an instance gave. */
    void beginStream(int status, HttpHeaders headers);

    /** Passes on whole events of a stream; takes over the buffer. */
    void writeEvents(ByteBuf events);

    /** Ends a stream that is complete. */
    void endStream();

    /** Passes on a whole answer of an instance; takes over the buffer. */
    void writeResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Answers without an instance. */
    void writeLocalResponse(int status, HttpHeaders headers, String requestId);

    /** Breaks off so that the answer does not look complete. */
    void abort();
}
