package io.oleandermoor.replay;

/** What happens in a generated trace. */
public enum Scenario {
    /** A day with shops that close at different hours and batches at night, 144 times faster than recorded. */
    DAY(144, 600),
    /** One team sends several times its rate in the middle third. */
    OVERLOAD(1, 120),
    /** A failure domain is lost at the peak and comes back later. */
    DOMAIN_LOSS(1, 180),
    /** The key-value service is down in the middle half, while shops close. */
    STORE_OUTAGE(144, 240),
    /** All entries are replaced, one after the other. */
    ROLLING_REPLACEMENT(1, 120),
    /** A request crashes each upstream that runs it, and its caller sends it again. */
    CRASHING_REQUEST(1, 120);

    private final int timeFactor;
    private final int seconds;

    Scenario(int timeFactor, int seconds) {
        this.timeFactor = timeFactor;
        this.seconds = seconds;
    }

    int timeFactor() {
        return timeFactor;
    }

    /**
     * Returns the length of the trace.
     *
     * @return replayed seconds
     */
    public int seconds() {
        return seconds;
    }
}
