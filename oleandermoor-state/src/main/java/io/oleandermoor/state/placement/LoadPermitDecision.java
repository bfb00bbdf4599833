package io.oleandermoor.state.placement;

/** Answer to a {@link LoadPermitRequest}. */
public sealed interface LoadPermitDecision {

    /**
     * The load may start. The agent counts the validity from when it sent the request.
     *
     * @param validMillis how long the permit is valid without renewal, in milliseconds
     */
    record Granted(long validMillis) implements LoadPermitDecision {}

    /**
     * The load may not start yet.
     *
     * @param retryAfterMillis when to ask again, in milliseconds
     */
    record Deferred(long retryAfterMillis) implements LoadPermitDecision {}
}
