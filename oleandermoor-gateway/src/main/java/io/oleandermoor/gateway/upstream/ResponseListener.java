package io.oleandermoor.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.oleandermoor.platform.RequestHeaders.ResponseHead;

/**
 * Receives the response to one request sent to an instance. The last call is exactly one of {@link #onComplete} and
 * {@link #onFailure}, unless the request is cancelled.
 */
public interface ResponseListener {

    /** Indicates whether a request that got no complete response may have been executed. */
    enum FailureKind {
        /** No part of the request was sent, so the instance did not execute it. */
        NOT_SENT,
        /** No part of the request was sent, because {@link #maySend} no longer permitted it. */
        WITHDRAWN,
        /** The request was sent, and the instance may have executed it. */
        OUTCOME_UNKNOWN
    }

    /** Returns whether the request may still be sent once its connection has been opened. */
    boolean maySend();

    /** Called when the response head has been received. */
    void onHead(ResponseHead head, HttpResponse response);

    /** Called for each part of the response body. The caller owns the buffer and releases it after the call. */
    void onContent(ByteBuf content);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the response cannot be completed. */
    void onFailure(FailureKind kind, String reason);
}
