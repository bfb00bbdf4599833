package io.oleandermoor.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.CrashReport;
import io.oleandermoor.daemon.network.ItemExchange;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.CrashAttribution;
import io.oleandermoor.transport.client.UpstreamFailure;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds out whether the upstream's process has ended when calls break, and charges the crash to the requests that ran.
 * One crash breaks many calls at once, so the requests that ran are kept until the crash is over. Safe for use by
 * several threads.
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

    private final LongSupplier nowMillis;

    private final Map<AttemptKey, CrashAttribution.Running> running = new HashMap<>();

    private long lastCrashMillis = Long.MIN_VALUE / 2;

    CrashWatch(UpstreamId upstream, InetSocketAddress address, ItemExchange items, LongSupplier nowMillis) {
        this.upstream = upstream;
        this.address = address;
        this.items = items;
        this.nowMillis = nowMillis;
    }

    synchronized void started(RunningAttempt attempt) {
        running.put(attempt.key(), new CrashAttribution.Running(attempt.fingerprint(), nowMillis.getAsLong()));
    }

    synchronized void ended(RunningAttempt attempt) {
        running.remove(attempt.key());
    }

    /** Takes a broken call. The first one after a crash reports it. */
    void failed(RunningAttempt attempt, UpstreamFailure failure) {
        if (failure != UpstreamFailure.BROKEN || isListening()) {
            return;
        }
        List<CrashAttribution.Running> suspects;
        long now = nowMillis.getAsLong();
        synchronized (this) {
            if (now - lastCrashMillis < SAME_CRASH_MILLIS) {
                return;
            }
            lastCrashMillis = now;
            suspects = List.copyOf(running.values());
        }
        report(CrashAttribution.charged(suspects, now));
    }

    private void report(Set<String> fingerprints) {
        long epochMillis = System.currentTimeMillis();
        LogEvent.of("upstream_crashed")
                .with("upstream", upstream)
                .with("charged", fingerprints.size())
                .warn(LOGGER);
        try {
            CrashReport report = new CrashReport(upstream.value(), epochMillis, List.copyOf(fingerprints));
            items.publish(
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
