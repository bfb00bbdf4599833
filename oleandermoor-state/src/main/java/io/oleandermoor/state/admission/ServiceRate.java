package io.oleandermoor.state.admission;

/** Estimates the service of an upstream from finished requests, as moving averages. */
final class ServiceRate {

    /** Weight of a new sample is 1/16: about 16 requests decide, so one long request changes little. */
    private static final double SAMPLE_WEIGHT = 1.0 / 16;

    private final int slots;
    private double averageTokens;
    private double averageMillis;

    ServiceRate(int slots) {
        this.slots = slots;
    }

    void addSample(long requestTokens, long durationMillis) {
        if (averageMillis == 0) {
            averageTokens = requestTokens;
            averageMillis = Math.max(1, durationMillis);
        } else {
            averageTokens += (requestTokens - averageTokens) * SAMPLE_WEIGHT;
            averageMillis += (Math.max(1, durationMillis) - averageMillis) * SAMPLE_WEIGHT;
        }
    }

    /** Returns the time in which all slots serve this many tokens; 0 before the first sample. */
    double millisFor(double requestTokens) {
        return averageTokens == 0 ? 0 : requestTokens * averageMillis / averageTokens / slots;
    }

    /** Returns the mean time between two slots that become free when all are in use. */
    double millisBetweenFreeSlots() {
        return averageMillis / slots;
    }

    double meanTokens() {
        return averageTokens;
    }
}
