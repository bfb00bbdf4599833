package io.oleandermoor.gateway.quarantine;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.metrics.GatewayMetrics.QuarantineChange;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.quarantine.CrashReport;
import io.oleandermoor.state.quarantine.RequestQuarantine;
import io.oleandermoor.state.quarantine.RequestQuarantine.Quarantine;
import io.oleandermoor.state.quarantine.RequestTraits;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Combines what this entry and the others observe of requests that end instances, and tells what follows from it. Used
 * on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Tasks run until the event loop ends.
public final class QuarantineCoordinator {

    private static final String SELF = "self";
    private static final Logger LOG = LogManager.getLogger(QuarantineCoordinator.class);
    /** Time for which disproved traits are reported; each other entry gets a report within it. */
    private static final long DISPROOF_REPORT_MILLIS = 1_000;
    /** Time after a disproof in which quarantines of other entries, which may not have heard of it, are ignored. */
    private static final long DISPROOF_PRECEDENCE_MILLIS = 5_000;
    /** Time for the reports of the other entries about the same crash to arrive. */
    private static final long REPORT_COLLECTION_MILLIS = 20;

    private final EventLoop loop;
    private final GatewayMetrics metrics;
    private final List<ObservedCrash> collectedCrashes = new ArrayList<>();
    private final List<Runnable> continuations = new ArrayList<>();
    private final RequestQuarantine quarantine = new RequestQuarantine();
    private final Map<String, Long> disprovedMillis = new HashMap<>();
    private final List<Consumer<Quarantine>> beginListeners = new ArrayList<>();
    private Consumer<CrashReport> reportListener = report -> {};
    private Consumer<CrashReport> peerCrashListener = report -> {};
    private Runnable changeListener = () -> {};

    /**
     * Creates a coordinator that knows of no crashes.
     *
     * @param loop the event loop
     * @param metrics counts crashes and quarantines
     */
    public QuarantineCoordinator(EventLoop loop, GatewayMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** The report of an entry about an instance that ended. */
    private record ObservedCrash(CrashReport report, String observer) {

        boolean isOwn() {
            return observer.equals(SELF);
        }
    }

    /** Sets the listener that sends the crash reports of this entry to the others. */
    public void setReportListener(Consumer<CrashReport> listener) {
        reportListener = listener;
    }

    /** Sets the listener that gets what other entries report of instances that ended. */
    public void setPeerCrashListener(Consumer<CrashReport> listener) {
        peerCrashListener = listener;
    }

    /** Sets the listener that runs after quarantines have begun. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Adds a listener that gets each quarantine that begins because of a crash that this entry observed. */
    public void addBeginListener(Consumer<Quarantine> listener) {
        beginListeners.add(listener);
    }

    /**
     * Records that an instance has ended, as this entry observed.
     *
     * @param report the report, which is sent to the other entries
     * @param continuation runs once the quarantines that follow from the crash are in force
     */
    public void recordOwnCrash(CrashReport report, Runnable continuation) {
        reportListener.accept(report);
        continuations.add(continuation);
        collect(new ObservedCrash(report, SELF));
    }

    /** Records that an instance has ended, as another entry observed. */
    public void recordPeerCrash(CrashReport report, String peer) {
        if (!quarantine.isKnown(report)) {
            peerCrashListener.accept(report);
            collect(new ObservedCrash(report, peer));
        }
    }

    /** Waits for other reports, because the requests of one entry may explain the crash without those of another. */
    private void collect(ObservedCrash crash) {
        if (collectedCrashes.isEmpty()) {
            loop.schedule(this::evaluateCrashes, REPORT_COLLECTION_MILLIS, TimeUnit.MILLISECONDS);
        }
        collectedCrashes.add(crash);
    }

    private void evaluateCrashes() {
        List<ObservedCrash> crashes = collectedCrashes.stream()
                .filter(crash -> !quarantine.isKnown(crash.report()))
                .toList();
        collectedCrashes.clear();
        long now = Timestamp.monotonicNowMillis();
        List<Quarantine> begun = quarantine.recordCrashes(
                crashes.stream().map(ObservedCrash::report).toList(), now);
        crashes.forEach(this::logCrash);
        begun.forEach(each -> {
            metrics.countQuarantine(QuarantineChange.BEGUN);
            logBegin(
                    each, "crash of " + crashes.get(crashes.size() - 1).report().instance(), now);
        });
        if (crashes.stream().anyMatch(ObservedCrash::isOwn)) {
            begun.forEach(each -> beginListeners.forEach(listener -> listener.accept(each)));
        }
        if (!begun.isEmpty()) {
            changeListener.run();
        }
        List<Runnable> due = List.copyOf(continuations);
        continuations.clear();
        due.forEach(Runnable::run);
    }

    private void logCrash(ObservedCrash crash) {
        LOG.info(
                "event=instance_crashed instance={} started={} observer={} suspects={}",
                crash.report().instance(),
                crash.report().startedMillis(),
                crash.observer(),
                crash.report().suspects());
        metrics.countCrash(crash.isOwn());
    }

    private static void logBegin(Quarantine begun, String cause, long now) {
        LOG.warn(
                "event=quarantine_begun trait={} companions={} cause=\"{}\" duration_ms={} repeated={}",
                begun.trait(),
                begun.companions(),
                cause,
                begun.untilMillis() - now,
                begun.repeated());
    }

    /** Records that an instance goes on answering a request, for some time by now. */
    public void recordProgress(RequestTraits traits, long answeringMillis) {
        recordDisproved(quarantine.recordProgress(traits, answeringMillis), SELF);
    }

    /** Records that an instance has answered a request completely. */
    public void recordAnswer(RequestTraits traits) {
        recordDisproved(quarantine.recordAnswer(traits, Timestamp.monotonicNowMillis()), SELF);
    }

    /** Records that requests with some traits were answered, as another entry observed. */
    public void recordPeerDisproof(Collection<String> traits, String peer) {
        recordDisproved(quarantine.disprove(traits), peer);
    }

    private void recordDisproved(List<String> traits, String observer) {
        for (String trait : traits) {
            metrics.countQuarantine(QuarantineChange.DISPROVED);
            disprovedMillis.put(trait, Timestamp.monotonicNowMillis());
            LOG.info("event=suspicion_ended trait={} observer={}", trait, observer);
        }
    }

    /** Returns the suspected traits that were disproved within the last second. */
    public Collection<String> recentlyDisproved() {
        long now = Timestamp.monotonicNowMillis();
        disprovedMillis.values().removeIf(millis -> now - millis > DISPROOF_PRECEDENCE_MILLIS);
        return disprovedMillis.entrySet().stream()
                .filter(entry -> now - entry.getValue() <= DISPROOF_REPORT_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Puts a quarantine in force that another entry, or this one before its restart, has begun. */
    public void restore(Quarantine restored, String source) {
        if (!disprovedMillis.containsKey(restored.trait()) && quarantine.restore(restored)) {
            metrics.countQuarantine(QuarantineChange.RESTORED);
            logBegin(restored, "known to " + source, Timestamp.monotonicNowMillis());
            changeListener.run();
        }
    }

    /** Returns the quarantine that forbids to send a request; empty if it may be sent. */
    public Optional<Quarantine> find(RequestTraits traits) {
        return quarantine.find(traits, Timestamp.monotonicNowMillis());
    }

    /** Returns the quarantines in force. */
    public Collection<Quarantine> active() {
        return quarantine.active(Timestamp.monotonicNowMillis());
    }
}
