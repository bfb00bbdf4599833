package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.fleet.UpstreamInstance;

/**
 * A rule that restricts which instances may be chosen for a request, for example because of their failure domain or
 * because they have just started. Rules are asked for each candidate of each choice, so they must be fast. Not
 * thread-safe.
 */
@FunctionalInterface
public interface InstanceRule {

    /** What a rule says about a candidate; of several rules, the last of these constants prevails. */
    enum Verdict {
        /** The candidate may be chosen. */
        ALLOWED,
        /** The candidate may be chosen only if no allowed instance holds the required model or adapter. */
        LAST_RESORT,
        /** The candidate cannot take the request now, but soon; the request may wait for it. */
        FULL,
        /** Nothing may be sent to the candidate, as if it were leaving. */
        WITHDRAWN,
        /** The candidate must not serve the request, as if it did not exist. */
        EXCLUDED
    }

    /**
     * Judges a candidate.
     *
     * @param state the candidate, which belongs to the service of the request
     * @param query the requirements of the request
     * @param load the known number of requests that all entries have in flight at the candidate
     * @param nowMillis the current time
     */
    Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis);

    /**
     * Judges an instance regardless of the request. A withdrawn instance gets nothing over a connection that has just
     * been opened; one that is not allowed gets no models, and those that it holds do not count.
     */
    default Verdict judgeInstance(UpstreamInstance instance, long nowMillis) {
        return Verdict.ALLOWED;
    }

    /** Called when a request is sent to an instance. */
    default void onSent(InstanceState state, long nowMillis) {}
}
