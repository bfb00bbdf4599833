package io.oleandermoor.gateway.request;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.PlaceForecast;
import io.oleandermoor.state.dispatch.RetryAllowance;
import io.oleandermoor.state.residency.DemandBoard;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** What all requests of this entry share. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class RequestDispatcher {

    /** Waiting requests are offered a place at least this often; releases of places offer it at once. */
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    /** Bytes of plain answers that are held at a time until they are whole: a sixth of the heap. */
    private static final long MAXIMUM_BUFFERED_BYTES = 16 << 20;

    private final EventLoop loop;
    private final DeploymentView view;
    private final UpstreamPool pool;
    private final Limits limits;
    private final RequestQueue queue = new RequestQueue();
    private final PlaceForecast capacityForecast = new PlaceForecast();
    private final RequestEventLog eventLog = new RequestEventLog();
    private final Map<String, RetryAllowance> retryAllowances = new HashMap<>();
    private final Map<ModelTarget, Integer> runningByTarget = new HashMap<>();
    private final MissingTargetTracker missingTargets;
    private final SilenceDetector silenceDetector;
    private Runnable shortageListener = () -> {};
    private boolean dispatchScheduled;
    private long bufferedBytes;
    private long nextSequenceNumber;
    private int openRequests;

    /**
     * Figures of the deployment that bind every request.
     *
     * @param maximumKeyConfirmationAgeMillis the age of the confirmed configuration from which keys are no longer
     *     accepted
     * @param retryRatio the repeated sends that one request permits
     * @param fixedRetries the repeated sends that all entries may make in a window besides
     * @param retryWindowMillis the length of that window
     */
    public record Limits(
            long maximumKeyConfirmationAgeMillis, double retryRatio, double fixedRetries, long retryWindowMillis) {}

    /**
     * Creates a desk without requests.
     *
     * @param loop the event loop
     * @param view what is believed of the deployment
     * @param pool the connections to instances
     * @param rules the figures of the deployment
     */
    public RequestDispatcher(EventLoop loop, DeploymentView view, UpstreamPool pool, Limits rules) {
        this.loop = loop;
        this.view = view;
        this.pool = pool;
        this.limits = rules;
        this.missingTargets = new MissingTargetTracker(view);
        this.silenceDetector = new SilenceDetector(view);
    }

    /** Starts to offer places to waiting requests. */
    public void start() {
        view.addChangeListener(queue::dispatchWaiting);
        // A late tick is not made up for, or a pause of this process would count as silence of others.
        loop.scheduleWithFixedDelay(
                silenceDetector::tick, SilenceDetector.TICK_MILLIS, SilenceDetector.TICK_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::tick, DISPATCH_INTERVAL_MILLIS, DISPATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        queue.dispatchWaiting();
        eventLog.tick();
    }

    /** Sets the action that runs when a request waits for something that no instance holds. */
    public void setShortageListener(Runnable listener) {
        shortageListener = listener;
    }

    /** Returns what this entry has for each model and adapter. */
    public Map<ModelTarget, DemandBoard.Wanted> demand() {
        Map<ModelTarget, Integer> waiting = queue.immediateDemandByTarget();
        missingTargets
                .recentRefusals(Timestamp.monotonicNowMillis())
                .forEach((target, count) -> waiting.merge(target, count, Integer::sum));
        Map<ModelTarget, DemandBoard.Wanted> wanted = new HashMap<>();
        runningByTarget.forEach(
                (target, count) -> wanted.put(target, new DemandBoard.Wanted(count, waiting.getOrDefault(target, 0))));
        waiting.forEach((target, count) -> wanted.putIfAbsent(target, new DemandBoard.Wanted(0, count)));
        return wanted;
    }

    /** Refuses what waits, so that callers go to other entries. */
    public void rejectQueued() {
        queue.rejectAll();
    }

    /** Returns the requests that have no answer yet. */
    public int openRequestCount() {
        return openRequests;
    }

    EventLoop loop() {
        return loop;
    }

    DeploymentView view() {
        return view;
    }

    UpstreamPool pool() {
        return pool;
    }

    Limits limits() {
        return limits;
    }

    RequestQueue queue() {
        return queue;
    }

    SilenceDetector silenceDetector() {
        return silenceDetector;
    }

    RequestEventLog eventLog() {
        return eventLog;
    }

    RetryAllowance retryAllowance(String service) {
        return retryAllowances.computeIfAbsent(
                service,
                name -> new RetryAllowance(limits.retryRatio(), limits.fixedRetries(), limits.retryWindowMillis()));
    }

    /** Notes that no instance could take a request. */
    void recordShortage(RequestExchange exchange, Shortage shortage) {
        if (shortage == Shortage.NOT_RESIDENT) {
            exchange.target().ifPresent(target -> {
                if (!missingTargets.isMissing(target)) {
                    shortageListener.run();
                }
                missingTargets.recordMissing(target, Timestamp.monotonicNowMillis());
            });
        }
    }

    /** Notes that a request got a place. */
    void recordAssignment(String need, Optional<ModelTarget> target) {
        capacityForecast.placed(need, Timestamp.monotonicNowMillis());
        target.ifPresent(missingTargets::recordPresent);
    }

    /** Notes that a request was refused for want of its model; it counts as demand for a while. */
    void recordRefusal(ModelTarget target) {
        missingTargets.recordRefusal(target, Timestamp.monotonicNowMillis());
    }

    /** Returns the expected time until a place for a request is there. */
    long expectedWaitMillis(RequestExchange exchange, Shortage shortage) {
        return exchange.target()
                .filter(target -> shortage == Shortage.NOT_RESIDENT)
                .map(target -> missingTargets.expectedAvailableMillis(
                        exchange.service(), target, Timestamp.monotonicNowMillis()))
                .orElseGet(() -> capacityForecast.expectedMillis(
                        exchange.capacityKey(), queue.countAhead(exchange), Timestamp.monotonicNowMillis()));
    }

    /** Offers the places that have become free, once all events that have come are taken in. */
    void scheduleDispatch() {
        if (!dispatchScheduled && queue.size() > 0) {
            dispatchScheduled = true;
            loop.execute(() -> {
                dispatchScheduled = false;
                queue.dispatchWaiting();
            });
        }
    }

    /**
     * Counts bytes of answers that are held until the answer is whole.
     *
     * @param bytes the bytes that are added, or negative if they are released
     * @return whether as many may be held
     */
    boolean addBufferedBytes(long bytes) {
        bufferedBytes += bytes;
        return bufferedBytes <= MAXIMUM_BUFFERED_BYTES;
    }

    long openRequest() {
        openRequests++;
        return nextSequenceNumber++;
    }

    void closeRequest() {
        openRequests--;
    }

    void changeRunning(ModelTarget target, int change) {
        runningByTarget.merge(target, change, Integer::sum);
        runningByTarget.remove(target, 0);
    }
}
