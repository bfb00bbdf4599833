package io.oleandermoor.daemon.placement;

import io.oleandermoor.protocol.message.DemandReport;
import io.oleandermoor.state.identity.ModelName;
import java.util.HashMap;
import java.util.Map;

/** The demand for each model over all entries. Used under the lock of the placement owner. */
final class DemandTable {

    /** Reports older than this do not count: the entry has gone or sends its load elsewhere. */
    private static final long REPORT_LIFETIME_MILLIS = 30_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Report> reports = new HashMap<>();

    void reported(String entry, DemandReport report, long nowMillis) {
        Map<ModelName, Double> rates = new HashMap<>();
        double seconds = Math.max(1, report.getIntervalMillis()) / MILLIS_PER_SECOND;
        report.getDemandsList()
                .forEach(demand -> rates.put(new ModelName(demand.getModel()), demand.getTokens() / seconds));
        reports.put(entry, new Report(rates, nowMillis));
    }

    /** Returns the tokens/s asked for now, by model. */
    Map<ModelName, Double> present(long nowMillis) {
        reports.values().removeIf(report -> nowMillis - report.atMillis > REPORT_LIFETIME_MILLIS);
        Map<ModelName, Double> sums = new HashMap<>();
        reports.values().forEach(report -> report.rates.forEach((model, rate) -> sums.merge(model, rate, Double::sum)));
        return sums;
    }

    private record Report(Map<ModelName, Double> rates, long atMillis) {}
}
