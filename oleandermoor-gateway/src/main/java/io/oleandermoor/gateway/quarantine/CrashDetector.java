package io.oleandermoor.gateway.quarantine;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.quarantine.CrashReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
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
    /** Maximum number of requests in a report of this entry. */
    private static final int MAXIMUM_SUSPECTS = 512;
    /** Times after which an instance with an abandoned run is probed if no other connection tells of its end. */
    private static final List<Long> ABANDONED_PROBE_DELAYS_MILLIS = List.of(250L, 1_000L, 3_000L);
    /** Maximum number of abandoned runs that are remembered, at all instances. */
    private static final int MAXIMUM_ABANDONED_RUNS = 512;

    private final EventLoop loop;
    private final UpstreamPool pool;
    private final BiConsumer<CrashReport, Runnable> listener;
    private final Predicate<String> connected;
    private final Map<String, Loss> pendingLosses = new HashMap<>();
    private final Deque<AbandonedRun> abandonedRuns = new ArrayDeque<>();

    /**
     * Creates a detector.
     *
     * @param loop the event loop
     * @param pool opens the connections
     * @param connected returns whether an entry has a connection to an instance, by which it notices its end
     * @param listener receives a report of each instance that has ended, and what runs after its evaluation
     */
    public CrashDetector(
            EventLoop loop,
            UpstreamPool pool,
            Predicate<String> connected,
            BiConsumer<CrashReport, Runnable> listener) {
        this.loop = loop;
        this.pool = pool;
        this.connected = connected;
        this.listener = listener;
    }

    /** Connections to an instance that were lost and about which nothing is known yet. */
    private static final class Loss {

        private final List<CrashReport.Suspect> suspects = new ArrayList<>();
        private final List<Runnable> continuations = new ArrayList<>();
        private final List<Runnable> survivalListeners = new ArrayList<>();

        private void addSuspect(CrashReport.Suspect suspect) {
            if (suspects.size() < MAXIMUM_SUSPECTS) {
                suspects.add(suspect);
            }
        }
    }

    /** A run whose connection this entry has closed, and which the instance may continue until the deadline. */
    private record AbandonedRun(
            UpstreamInstance instance, CrashReport.Suspect suspect, long abandonedMillis, long deadlineMillis) {

        private boolean isAt(String instanceId, long startedMillis) {
            return instance.id().equals(instanceId) && instance.startedMillis() == startedMillis;
        }

        private CrashReport.Suspect suspectAt(long nowMillis) {
            return new CrashReport.Suspect(
                    suspect.requestId(), suspect.traits(), suspect.answeringMillis() + nowMillis - abandonedMillis);
        }
    }

    /**
     * Handles the loss of a connection on which a request was sent.
     *
     * @param instance the instance
     * @param suspect the request
     * @param continuation runs once it is known whether the instance has ended, and what follows from that
     */
    public void connectionLost(UpstreamInstance instance, CrashReport.Suspect suspect, Runnable continuation) {
        Loss loss = probeSoon(instance);
        loss.addSuspect(suspect);
        loss.continuations.add(continuation);
    }

    /**
     * Handles an answer whose end was the end of its connection, as after a crash.
     *
     * @param instance the instance
     * @param suspect the request
     * @param survivalListener runs if the instance has not ended
     */
    public void answerEndedWithConnection(
            UpstreamInstance instance, CrashReport.Suspect suspect, Runnable survivalListener) {
        Loss loss = probeSoon(instance);
        loss.addSuspect(suspect);
        loss.survivalListeners.add(survivalListener);
    }

    /**
     * Handles the end of a run whose connection this entry has closed, for example because the caller has left: an
     * instance need not notice.
     *
     * @param instance the instance
     * @param suspect the request
     * @param deadlineMillis the time until which the instance may continue the run
     */
    public void runAbandoned(UpstreamInstance instance, CrashReport.Suspect suspect, long deadlineMillis) {
        long now = Timestamp.monotonicNowMillis();
        abandonedRuns.removeIf(run -> run.deadlineMillis() < now);
        if (abandonedRuns.size() >= MAXIMUM_ABANDONED_RUNS) {
            abandonedRuns.removeFirst();
        }
        abandonedRuns.addLast(new AbandonedRun(instance, suspect, now, deadlineMillis));
        for (long delayMillis : ABANDONED_PROBE_DELAYS_MILLIS) {
            loop.schedule(() -> checkAbandoned(instance.id()), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void checkAbandoned(String instanceId) {
        if (!connected.test(instanceId)) {
            contactLost(instanceId);
        }
    }

    /** Handles the loss of any other connection to an instance, or a connection that it did not accept. */
    public void contactLost(String instanceId) {
        abandonedRuns.stream()
                .map(AbandonedRun::instance)
                .filter(instance -> instance.id().equals(instanceId))
                .reduce((first, last) -> last)
                .ifPresent(this::probeSoon);
    }

    /** Handles the report of another entry that an instance has ended. */
    public void instanceEnded(CrashReport peerReport) {
        List<CrashReport.Suspect> suspects = takeAbandoned(peerReport.instance(), peerReport.startedMillis());
        if (!suspects.isEmpty()) {
            listener.accept(new CrashReport(peerReport.instance(), peerReport.startedMillis(), suspects), () -> {});
        }
    }

    private List<CrashReport.Suspect> takeAbandoned(String instanceId, long startedMillis) {
        long now = Timestamp.monotonicNowMillis();
        List<CrashReport.Suspect> suspects = abandonedRuns.stream()
                .filter(run -> run.isAt(instanceId, startedMillis) && run.deadlineMillis() >= now)
                .map(run -> run.suspectAt(now))
                .toList();
        abandonedRuns.removeIf(run -> run.isAt(instanceId, startedMillis));
        return suspects;
    }

    private Loss probeSoon(UpstreamInstance instance) {
        Loss pending = pendingLosses.get(instance.id());
        if (pending != null) {
            return pending;
        }
        Loss loss = new Loss();
        pendingLosses.put(instance.id(), loss);
        loop.schedule(() -> probe(instance), PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return loss;
    }

    private void probe(UpstreamInstance instance) {
        pool.probe(instance, result -> {
            Loss loss = pendingLosses.remove(instance.id());
            if (loss == null) {
                return;
            }
            Runnable continuation = () -> loss.continuations.forEach(Runnable::run);
            if (result == UpstreamPool.ProbeResult.REFUSED) {
                loss.suspects.addAll(takeAbandoned(instance.id(), instance.startedMillis()));
                listener.accept(new CrashReport(instance.id(), instance.startedMillis(), loss.suspects), continuation);
            } else {
                LOG.info(
                        "event=connections_lost instance={} requests={} probe={}",
                        instance.id(),
                        loss.continuations.size(),
                        result);
                if (result == UpstreamPool.ProbeResult.ACCEPTED) {
                    loss.survivalListeners.forEach(Runnable::run);
                }
                continuation.run();
            }
        });
    }
}
