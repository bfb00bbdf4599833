package io.oleandermoor.standin.platform;

/**
 * Failures that the key-value service shows. Values that are not given are off.
 *
 * @param down whether no call is answered with a result; the start of an outage ends all watches
 * @param requestDelayMillis time until the store sees a call, in milliseconds
 * @param answerDelayMillis time from the effect of a call to its answer, in milliseconds
 * @param loseAnswers number of next writes that take effect but whose answers are lost
 * @param loseUnder prefix of the keys whose writes lose their answers; empty for all keys. Renewals of leases are not
 *     counted, so that a test decides which write loses its answer.
 * @param lapseLeases whether all leases end now
 */
public record StoreFaults(
        boolean down,
        int requestDelayMillis,
        int answerDelayMillis,
        int loseAnswers,
        String loseUnder,
        boolean lapseLeases) {

    /** No failures. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0, "", false);

    /** Replaces values that were not given and checks the others. */
    public StoreFaults {
        loseUnder = loseUnder == null ? "" : loseUnder;
        if (requestDelayMillis < 0 || answerDelayMillis < 0 || loseAnswers < 0) {
            throw new IllegalArgumentException("delays and loseAnswers must not be negative");
        }
    }
}
