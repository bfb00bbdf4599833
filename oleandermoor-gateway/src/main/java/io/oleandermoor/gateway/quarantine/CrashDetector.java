package io.oleandermoor.gateway.quarantine;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.quarantine.CrashReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Determines whether an instance has ended when connections to it are lost, by opening another connection: an instance
 * that has ended refuses it, and one that has lost or closed single connections accepts it. Used on the event loop
 * only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Tasks run until the event loop ends.
public final class CrashDetector {

    private static final Logger LOG = LogManager.getLogger(CrashDetector.class);
    /** Time for the other connections to the instance to be lost, too. */
    private static final long PROBE_DELAY_MILLIS = 10;
    /** Maximum number of requests in a report; the rest adds little, and the report has to fit into a datagram. */
    private static final int MAXIMUM_SUSPECTS = 32;

    private final EventLoop loop;
    private final UpstreamPool pool;
    private final Consumer<CrashReport> listener;
    private final Map<String, Loss> pendingLosses = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param loop the event loop
     * @param pool opens the connections
     * @param listener receives a report of each instance that has ended
     */
    public CrashDetector(EventLoop loop, UpstreamPool pool, Consumer<CrashReport> listener) {
        this.loop = loop;
        this.pool = pool;
        this.listener = listener;
    }

    /** Connections to an instance that were lost and about which nothing is known yet. */
    private static final class Loss {

        private final List<CrashReport.Suspect> suspects = new ArrayList<>();
        private final List<Runnable> continuations = new ArrayList<>();
    }

    /**
     * Handles the loss of a connection on which a request was sent.
     *
     * @param instance the instance
     * @param suspect the request
     * @param continuation runs once it is known whether the instance has ended, after the listener
     */
    public void connectionLost(UpstreamInstance instance, CrashReport.Suspect suspect, Runnable continuation) {
        Loss loss = pendingLosses.get(instance.id());
        if (loss == null) {
            loss = new Loss();
            pendingLosses.put(instance.id(), loss);
            loop.schedule(() -> probe(instance), PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (loss.suspects.size() < MAXIMUM_SUSPECTS) {
            loss.suspects.add(suspect);
        }
        loss.continuations.add(continuation);
    }

    private void probe(UpstreamInstance instance) {
        pool.probe(instance, result -> {
            Loss loss = pendingLosses.remove(instance.id());
            if (loss == null) {
                return;
            }
            if (result == UpstreamPool.ProbeResult.REFUSED) {
                listener.accept(new CrashReport(instance.id(), instance.startedMillis(), loss.suspects));
            } else {
                LOG.info(
                        "event=connections_lost instance={} requests={} probe={}",
                        instance.id(),
                        loss.continuations.size(),
                        result);
            }
            loss.continuations.forEach(Runnable::run);
        });
    }
}
