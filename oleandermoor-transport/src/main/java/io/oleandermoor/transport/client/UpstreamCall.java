package io.oleandermoor.transport.client;

/** A call to an upstream that is under way. */
@FunctionalInterface
public interface UpstreamCall {

    /** Cancels the call. The listener is told, unless the answer is complete already. */
    void cancel();
}
