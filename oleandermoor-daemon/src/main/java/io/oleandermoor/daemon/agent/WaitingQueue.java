package io.oleandermoor.daemon.agent;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Orders the attempts that wait for a slot at the upstream. Safe for use by several threads. */
interface WaitingQueue {

    /**
     * Adds an attempt, unless it could not start in time.
     *
     * @param attempt the attempt
     * @return empty if it was added, else the time after which it may be accepted, in milliseconds
     */
    Optional<Long> offer(RunningAttempt attempt);

    /**
     * Takes the attempt that runs next, if a slot is free.
     *
     * @return the attempt, which has the slot until {@link #release}
     */
    Optional<RunningAttempt> poll();

    /**
     * Removes an attempt that does not run.
     *
     * @param attempt the attempt
     */
    void remove(RunningAttempt attempt);

    /**
     * Frees the slot of an attempt.
     *
     * @param attempt the attempt
     * @param usedTokens prompt and generated tokens that the upstream processed for it
     */
    void release(RunningAttempt attempt, long usedTokens);

    /**
     * Removes the attempts whose deadline passed while they waited.
     *
     * @return the attempts, which did not run
     */
    List<RunningAttempt> expire();

    /** Returns the fingerprints to which a crash of the upstream now is charged. */
    Set<String> charged();

    /** Returns the number of attempts that have a slot. */
    int running();

    /** Returns the number of attempts that wait. */
    int waiting();

    /** Returns the expected wait of a new attempt, in milliseconds. */
    long expectedWaitMillis();
}
