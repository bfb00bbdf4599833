package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.message.DemandReport;
import io.oleandermoor.protocol.message.ModelDemand;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/** Counts the tokens that callers ask for, by model. Safe for use by several threads. */
final class DemandMeter {

    private final Map<String, LongAdder> tokens = new ConcurrentHashMap<>();

    private final LongSupplier nowMillis;

    private long lastReportMillis;

    DemandMeter(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        this.lastReportMillis = nowMillis.getAsLong();
    }

    void add(String model, long asked) {
        tokens.computeIfAbsent(model, key -> new LongAdder()).add(asked);
    }

    /** Returns what was counted since the last report. */
    synchronized DemandReport report() {
        long now = nowMillis.getAsLong();
        DemandReport.Builder report =
                DemandReport.newBuilder().setIntervalMillis((int) Math.max(1, now - lastReportMillis));
        lastReportMillis = now;
        tokens.forEach((model, counter) -> {
            long asked = counter.sumThenReset();
            if (asked > 0) {
                report.addDemands(ModelDemand.newBuilder().setModel(model).setTokens(asked));
            }
        });
        return report.build();
    }
}
