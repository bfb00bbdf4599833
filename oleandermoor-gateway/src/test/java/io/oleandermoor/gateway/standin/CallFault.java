package io.oleandermoor.gateway.standin;

/**
 * What happens to a call of the store.
 *
 * @param executionDelayMillis the time after which the call is carried out, in milliseconds
 * @param answerDelayMillis the time from then until its answer is sent or its connection ends, in milliseconds
 * @param answerLost whether the connection ends without an answer
 */
public record CallFault(long executionDelayMillis, long answerDelayMillis, boolean answerLost) {

    /** The call is carried out and answered at once. */
    public static final CallFault NONE = new CallFault(0, 0, false);
}
