package io.oleandermoor.standin.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Failures that the engine stand-in shows.
 *
 * @param loseOrders fraction of orders that are neither executed nor answered
 * @param loseOrderAnswers fraction of orders that are executed but not answered
 * @param orderDelayMillis delay before an order is executed, in milliseconds
 * @param silent whether running streams send nothing more and new ones do not start
 * @param slowFactor factor on the time of a step
 * @param crashOnText the process ends when it starts to run a prompt with this text; empty for none
 * @param loadReportLagMillis age of the load that is reported, in milliseconds
 * @param cacheEventLagMillis delay of cache events, in milliseconds
 * @param loseCacheEvents fraction of cache events that are lost
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record EngineFaults(
        double loseOrders,
        double loseOrderAnswers,
        int orderDelayMillis,
        boolean silent,
        int slowFactor,
        String crashOnText,
        int loadReportLagMillis,
        int cacheEventLagMillis,
        double loseCacheEvents) {

    /** No failures, with the usual lag of reports. */
    public static final EngineFaults NONE = new EngineFaults(0, 0, 0, false, 1, "", 200, 200, 0);

    /** Replaces values that were not given. */
    public EngineFaults {
        crashOnText = crashOnText == null ? "" : crashOnText;
        slowFactor = Math.max(1, slowFactor);
    }
}
