package io.oleandermoor.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.oleandermoor.platform.RequestHeaders.ResponseHead;

/** Receives what comes of one send to an instance. Exactly one of {@link #ended} and {@link #broken} ends it. */
public interface Attempt {

    /** How a send ended without a whole answer. */
    enum Break {
        /** Nothing was sent. */
        NOT_SENT,
        /** The request may have run. */
        UNKNOWN
    }

    /** The head of the answer has come. */
    void head(ResponseHead head, HttpResponse response);

    /** A part of the body has come; the buffer belongs to the caller. */
    void content(ByteBuf content);

    /** The answer is whole. */
    void ended();

    /** There will be no whole answer. */
    void broken(Break how, String reason);
}
