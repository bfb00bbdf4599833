package io.oleandermoor.state.dispatch;

/** Mechanisms of dispatch, which can be disabled one by one to measure what each is worth. */
public enum DispatchMechanism {
    /** Limits the prompt tokens that an engine is given to process at a time. */
    PREFILL_TOKEN_LIMIT,
    /** Counts the prompts that other entries have sent to an engine towards the limit of prompt tokens. */
    SHARED_PREFILL_LIMIT,
    /** Sends no prompt to an engine whose streams pause because it processes another prompt. */
    PREFILL_PAUSE_DETECTION,
    /** Lets all entries prefer the same instance for prompts with the same shared prefix. */
    SHARED_PREFIX_PREFERENCE,
    /** Prefers an instance that has processed the start of the prompt for this entry. */
    CACHED_PREFIX_BONUS,
    /** Avoids instances whose streams pause for longer than those of other instances. */
    SLOWNESS_PENALTY,
    /** Serves queued requests that can still meet their latency target first. */
    REACHABLE_TARGET_FIRST,
    /** Spaces the times at which refused callers return. */
    SPACED_RETURNS,
    /** Counts a waiting request as demand for a missing model only when the load has to start to be in time. */
    DEFERRED_DEMAND,
    /** Prefers instances of the entry's own failure domain while their load is not much higher than elsewhere. */
    NEAR_DOMAIN_PREFERENCE
}
