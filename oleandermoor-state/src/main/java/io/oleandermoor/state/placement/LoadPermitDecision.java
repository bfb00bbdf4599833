package io.oleandermoor.state.placement;

/** Decision about a {@link LoadPermitRequest}. */
public sealed interface LoadPermitDecision {

    /**
     * The load may start. For the agent, the validity begins when it sent the request.
     *
     * @param validMillis how long the permit is valid without renewal, in milliseconds
     */
    record Granted(long validMillis) implements LoadPermitDecision {}

    /**
     * The load may not start yet.
     *
     * @param retryAfterMillis delay before the request is to be repeated, in milliseconds
     */
    record Deferred(long retryAfterMillis) implements LoadPermitDecision {}
}
