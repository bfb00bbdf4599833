package io.oleandermoor.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.CrashReport;
import io.oleandermoor.daemon.network.ItemExchange;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.transport.client.UpstreamFailure;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds out whether the upstream's process has ended when calls break, and charges the crash to the requests that ran.
 * One crash breaks many calls at once; the first of them reports it. Safe for use by several threads.
 */
final class CrashWatch {

    private static final Logger LOGGER = LogManager.getLogger(CrashWatch.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Failures within this time after a crash belong to it. */
    private static final long SAME_CRASH_MILLIS = 1_000;

    private final UpstreamId upstream;

    private final InetSocketAddress address;

    private final ItemExchange items;

    private final CrashRegistry registry;

    private final Supplier<Set<String>> charged;

    private final LongSupplier nowMillis;

    private CompletableFuture<Void> lastReport = CompletableFuture.completedFuture(null);

    private long lastCrashMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a watch.
     *
     * @param upstream the upstream
     * @param address where the upstream listens
     * @param items spreads the reports
     * @param registry the crashes that this process knows
     * @param charged supplies the fingerprints to which a crash is charged
     * @param nowMillis the monotonic clock in milliseconds
     */
    CrashWatch(
            UpstreamId upstream,
            InetSocketAddress address,
            ItemExchange items,
            CrashRegistry registry,
            Supplier<Set<String>> charged,
            LongSupplier nowMillis) {
        this.upstream = upstream;
        this.address = address;
        this.items = items;
        this.registry = registry;
        this.charged = charged;
        this.nowMillis = nowMillis;
    }

    /**
     * Takes a broken call while its request still counts as running. Returns after a crash has been reported, so that
     * entries know of the crash before they know that the call failed.
     */
    void failed(UpstreamFailure failure) {
        if (failure != UpstreamFailure.BROKEN || isListening()) {
            return;
        }
        CompletableFuture<Void> report = new CompletableFuture<>();
        CompletableFuture<Void> earlier;
        boolean first;
        synchronized (this) {
            long now = nowMillis.getAsLong();
            first = now - lastCrashMillis >= SAME_CRASH_MILLIS;
            earlier = lastReport;
            if (first) {
                lastCrashMillis = now;
                lastReport = report;
            }
        }
        if (!first) {
            earlier.join();
            return;
        }
        try {
            report(charged.get());
        } finally {
            report.complete(null);
        }
    }

    private void report(Set<String> fingerprints) {
        long epochMillis = System.currentTimeMillis();
        LogEvent.of("upstream_crashed")
                .with("upstream", upstream)
                .with("charged", fingerprints.size())
                .warn(LOGGER);
        try {
            CrashReport report = new CrashReport(upstream.value(), epochMillis, List.copyOf(fingerprints));
            report.enterInto(registry);
            items.publishToAll(
                    CrashReport.ITEM_PREFIX + upstream + "/" + epochMillis,
                    epochMillis,
                    MAPPER.writeValueAsBytes(report));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a report can always be written as JSON", exception);
        }
    }

    private boolean isListening() {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }
}
