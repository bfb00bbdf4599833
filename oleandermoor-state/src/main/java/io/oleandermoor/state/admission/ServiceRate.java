package io.oleandermoor.state.admission;

/** Estimates the service rate of an upstream from moving averages over finished requests. */
final class ServiceRate {

    /**
     * Weight of a new sample. With 1/16, about 16 requests determine the average, so a single long request changes it
     * little.
     */
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

    /** Returns the time that all slots together need for this number of tokens, or 0 before the first sample. */
    double millisFor(double requestTokens) {
        return averageTokens == 0 ? 0 : requestTokens * averageMillis / averageTokens / slots;
    }

    /** Returns the mean interval at which slots become free while all slots are in use. */
    double millisBetweenFreeSlots() {
        return averageMillis / slots;
    }

    double meanTokens() {
        return averageTokens;
    }
}
