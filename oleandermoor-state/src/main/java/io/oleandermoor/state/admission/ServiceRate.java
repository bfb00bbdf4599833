package io.oleandermoor.state.admission;

/** Estimates the service of an upstream from finished requests, as moving averages. */
final class ServiceRate {

    /** Weight of a new sample is 1/16: about 16 requests decide, so one long request changes little. */
    private static final double SAMPLE_WEIGHT = 1.0 / 16;

    private final int slots;
    private double tokens;
    private double millis;

    ServiceRate(int slots) {
        this.slots = slots;
    }

    void add(long requestTokens, long durationMillis) {
        if (millis == 0) {
            tokens = requestTokens;
            millis = Math.max(1, durationMillis);
        } else {
            tokens += (requestTokens - tokens) * SAMPLE_WEIGHT;
            millis += (Math.max(1, durationMillis) - millis) * SAMPLE_WEIGHT;
        }
    }

    /** Returns the time in which all slots serve this many tokens; 0 before the first sample. */
    double millisFor(double requestTokens) {
        return tokens == 0 ? 0 : requestTokens * millis / tokens / slots;
    }

    /** Returns the mean time between two slots that become free when all are in use. */
    double millisPerSlot() {
        return millis / slots;
    }

    double meanTokens() {
        return tokens;
    }
}
