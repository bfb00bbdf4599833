package io.oleandermoor.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.oleandermoor.platform.RequestHeaders.AnswerHead;

/**
 * Receives what comes of one send to an instance. Exactly one of {@link #onComplete} and {@link #onFailure} ends it.
 */
public interface ResponseListener {

    /** How a send ended without a whole answer. */
    enum FailureKind {
        /** Nothing was sent. */
        NOT_SENT,
        /** The request may have run. */
        OUTCOME_UNKNOWN
    }

    /** The head of the answer has come. */
    void onHead(AnswerHead head, HttpResponse response);

    /** A part of the body has come; the buffer belongs to the caller. */
    void onContent(ByteBuf content);

    /** The answer is whole. */
    void onComplete();

    /** There will be no whole answer. */
    void onFailure(FailureKind how, String reason);
}
