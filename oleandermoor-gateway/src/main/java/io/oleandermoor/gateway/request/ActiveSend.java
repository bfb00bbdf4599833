package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.upstream.UpstreamPool;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** The send of a request that is in progress, if any. Used on the event loop only. */
final class ActiveSend {

    private @Nullable SendAttempt attempt;
    private UpstreamPool.@Nullable InFlightRequest inFlight;

    /** Begins an attempt, which can end before this method returns. */
    void begin(SendAttempt newAttempt, Supplier<UpstreamPool.InFlightRequest> send) {
        attempt = newAttempt;
        newAttempt.start();
        UpstreamPool.InFlightRequest sent = send.get();
        inFlight = attempt == newAttempt ? sent : null;
    }

    boolean is(SendAttempt candidate) {
        return attempt == candidate;
    }

    /** Returns whether the instance has been answering the request for a while. */
    boolean isUnderWay() {
        return attempt != null && attempt.evidence().isUnderWay();
    }

    /** Ends the attempt, whose connection is no longer needed. */
    void close() {
        SendAttempt current = attempt;
        attempt = null;
        inFlight = null;
        if (current != null) {
            current.close();
        }
    }

    /**
     * Ends the attempt and closes its connection, which cancels the request at the instance.
     *
     * @return whether any part of the request may have reached the instance
     */
    boolean cancel() {
        UpstreamPool.InFlightRequest current = inFlight;
        SendAttempt currentAttempt = attempt;
        close();
        boolean sent = current != null && current.cancel();
        if (sent && currentAttempt != null) {
            currentAttempt.evidence().runAbandoned();
        }
        return sent;
    }

    /** Sets whether the caller reads the response; the instance is read only while it does. */
    void setCallerReading(boolean reading) {
        if (inFlight != null) {
            inFlight.setAutoRead(reading);
        }
        if (attempt != null) {
            attempt.setPaused(!reading);
        }
    }
}
