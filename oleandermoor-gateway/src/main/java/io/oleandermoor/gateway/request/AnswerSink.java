package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Where the answer to one request goes. */
interface AnswerSink {

    /** Returns empty headers. */
    static HttpHeaders headers() {
        return new DefaultHttpHeaders(false);
    }

    /** Returns whether a stream has begun, so that no other answer can be given. */
    boolean started();

    /** Begins a stream with the head that an instance gave. */
    void begin(int status, HttpHeaders headers);

    /** Passes on whole events of a stream; takes over the buffer. */
    void part(ByteBuf events);

    /** Ends a stream that is complete. */
    void end();

    /** Passes on a whole answer of an instance; takes over the buffer. */
    void whole(int status, HttpHeaders headers, ByteBuf body);

    /** Answers without an instance. */
    void own(int status, HttpHeaders headers, String requestId);

    /** Breaks off so that the answer does not look complete. */
    void abort();
}
