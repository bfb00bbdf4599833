package io.oleandermoor.gateway.request;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.quarantine.CrashDetector;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.version.StreamOrigins;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.dispatch.DispatchMechanism;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.QueueOrder;
import io.oleandermoor.state.dispatch.ReturnSchedule;
import io.oleandermoor.state.dispatch.SlidingWindowRetryBudget;
import io.oleandermoor.state.dispatch.SlotWaitEstimator;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.quarantine.CrashReport;
import io.oleandermoor.state.residency.DemandTracker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Holds what all requests of this entry share: the queue, the retry allowances, the demand for models and the forecasts
 * of waiting times. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the channel handlers; tasks run on the loop.
public final class RequestDispatcher {

    /** Maximum interval between dispatches of queued requests; released capacity triggers a dispatch immediately. */
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    /** Time between two dispatches within which an instance could have ended and started again unnoticed. */
    private static final long STALL_MILLIS = 1_500;

    /** Maximum size of all unary responses and stream events that are buffered until complete: a sixth of the heap. */
    private static final long MAXIMUM_BUFFERED_BYTES = 16 << 20;
    /**
     * Size up to which each of them is buffered even beyond that maximum, so that a faulty instance, which can reach
     * it, does not affect the responses of the others.
     */
    private static final long GUARANTEED_BUFFER_BYTES = 16 << 10;

    private final EventLoop loop;
    private final DeploymentView view;
    private final UpstreamPool pool;
    private final Limits limits;
    private final RequestQueue queue;
    private final SlotWaitEstimator capacityForecast = new SlotWaitEstimator();
    private final ReturnSchedule returnSchedule = new ReturnSchedule();
    private final RequestEventLog eventLog = new RequestEventLog();
    private final Map<String, SlidingWindowRetryBudget> retryAllowances = new HashMap<>();
    private final Map<ModelTarget, Integer> runningByTarget = new HashMap<>();
    private final MissingTargetTracker missingTargets;
    private final SilenceDetector silenceDetector;
    private final QuarantineCoordinator quarantine;
    private final GatewayMetrics metrics;
    private final CrashDetector crashDetector;
    private final Set<RequestExchange> openRequests = new LinkedHashSet<>();
    private Runnable shortageListener = () -> {};
    private Consumer<String> promptListener = instance -> {};
    private Consumer<UpstreamInstance> confirmationRequester = instance -> {};
    private final StreamOrigins streamOrigins;
    private boolean dispatchScheduled;
    private long lastTickMillis = Timestamp.monotonicNowMillis();
    private long bufferedBytes;
    private long nextSequenceNumber;

    /**
     * Limits of the deployment that apply to every request.
     *
     * @param maximumKeyConfirmationAgeMillis the age of the last confirmation of the configuration from which keys are
     *     no longer accepted
     * @param retryRatio the retries that each request adds to the budget
     * @param fixedRetries the additional retries that all entries together may make in a window
     * @param retryWindowMillis the length of the window of the retry budget
     * @param mechanisms the mechanisms of dispatch to use
     */
    public record Limits(
            long maximumKeyConfirmationAgeMillis,
            double retryRatio,
            double fixedRetries,
            long retryWindowMillis,
            Set<DispatchMechanism> mechanisms) {

        /** Copies the mechanisms. */
        public Limits {
            mechanisms = Set.copyOf(mechanisms);
        }
    }

    /**
     * Creates a dispatcher without requests.
     *
     * @param loop the event loop
     * @param view this entry's view of the deployment
     * @param pool the pool of connections to instances
     * @param limits the limits of the deployment
     * @param quarantine knows the requests that must not be sent, because they end instances
     * @param metrics counts what becomes of requests
     * @param streamOrigins knows the software versions that began streams
     */
    public RequestDispatcher(
            EventLoop loop,
            DeploymentView view,
            UpstreamPool pool,
            Limits limits,
            QuarantineCoordinator quarantine,
            GatewayMetrics metrics,
            StreamOrigins streamOrigins) {
        this.loop = loop;
        this.view = view;
        this.pool = pool;
        this.limits = limits;
        this.queue = new RequestQueue(
                limits.mechanisms().contains(DispatchMechanism.REACHABLE_TARGET_FIRST)
                        ? QueueOrder.REACHABLE_TARGET_FIRST
                        : QueueOrder.ARRIVAL);
        this.missingTargets = new MissingTargetTracker(view);
        this.silenceDetector = new SilenceDetector(view);
        this.quarantine = quarantine;
        this.metrics = metrics;
        this.streamOrigins = streamOrigins;
        this.crashDetector = new CrashDetector(
                loop,
                pool,
                instance -> pool.hasIdle(instance) || view.instances().load(instance) > 0,
                this::handleCrash);
        pool.setAnomalyListener(new ResponseAnomalyLog(eventLog, metrics));
    }

    /** Starts the periodic dispatch of queued requests and the detection of silent instances. */
    public void start() {
        view.addChangeListener(queue::dispatchWaiting);
        quarantine.setChangeListener(this::refuseQuarantined);
        quarantine.setPeerCrashListener(crashDetector::instanceEnded);
        // Missed ticks are not caught up, because a pause of this process would otherwise count as silence of
        // instances.
        loop.scheduleWithFixedDelay(
                silenceDetector::tick, SilenceDetector.TICK_MILLIS, SilenceDetector.TICK_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::tick, DISPATCH_INTERVAL_MILLIS, DISPATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Handles the loss of a connection to an instance, whether a request was sent on it or not. */
    public void recordContactLost(String instance) {
        view.instances().state(instance).ifPresent(state -> state.contact().recordLost(Timestamp.monotonicNowMillis()));
        crashDetector.contactLost(instance);
    }

    private void handleCrash(CrashReport report, Runnable continuation) {
        view.instances()
                .state(report.instance(), report.startedMillis())
                .ifPresent(state -> state.recordUnreachable(Timestamp.monotonicNowMillis()));
        quarantine.recordOwnCrash(report, continuation);
    }

    private void refuseQuarantined() {
        new ArrayList<>(openRequests).forEach(RequestExchange::refuseIfQuarantined);
    }

    private void tick() {
        long now = Timestamp.monotonicNowMillis();
        if (now - lastTickMillis > STALL_MILLIS) {
            view.coldStarts().recordStall();
        }
        lastTickMillis = now;
        queue.dispatchWaiting();
        eventLog.tick();
    }

    /** Sets the listener that runs when a request first waits for a model or adapter that no instance holds. */
    public void setShortageListener(Runnable listener) {
        shortageListener = listener;
    }

    /** Sets the listener that gets the identifier of an engine when a prompt is sent to it or read by it. */
    public void setPromptListener(Consumer<String> listener) {
        promptListener = listener;
    }

    /** Sets what asks an instance with which contact was lost whether it still is the described run. */
    public void setConfirmationRequester(Consumer<UpstreamInstance> requester) {
        confirmationRequester = requester;
    }

    void requestConfirmation(UpstreamInstance instance) {
        confirmationRequester.accept(instance);
    }

    /** Reports to the listener that a prompt was sent to an engine or read by it. */
    void reportPromptChange(String instance) {
        if (uses(DispatchMechanism.SHARED_PREFILL_LIMIT)) {
            promptListener.accept(instance);
        }
    }

    /** Returns the running and waiting requests of this entry for each model and adapter. */
    public Map<ModelTarget, DemandTracker.RequestCounts> demand() {
        Map<ModelTarget, Integer> waiting = queue.immediateDemandByTarget();
        missingTargets
                .recentRefusals(Timestamp.monotonicNowMillis())
                .forEach((target, count) -> waiting.merge(target, count, Integer::sum));
        Map<ModelTarget, DemandTracker.RequestCounts> wanted = new HashMap<>();
        runningByTarget.forEach((target, count) ->
                wanted.put(target, new DemandTracker.RequestCounts(count, waiting.getOrDefault(target, 0))));
        waiting.forEach((target, count) -> wanted.putIfAbsent(target, new DemandTracker.RequestCounts(0, count)));
        return wanted;
    }

    /** Refuses all queued requests, so that their callers retry at other entries. */
    public void rejectQueued() {
        queue.rejectAll();
    }

    /** Ends all requests that still run, as if their deadlines had passed. */
    public void expireOpenRequests() {
        new ArrayList<>(openRequests).forEach(RequestExchange::expire);
    }

    /** Returns the number of requests without a completed response. */
    public int openRequestCount() {
        return openRequests.size();
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

    boolean uses(DispatchMechanism mechanism) {
        return limits.mechanisms().contains(mechanism);
    }

    StreamOrigins streamOrigins() {
        return streamOrigins;
    }

    RequestQueue queue() {
        return queue;
    }

    SilenceDetector silenceDetector() {
        return silenceDetector;
    }

    QuarantineCoordinator quarantine() {
        return quarantine;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    RequestEventLog eventLog() {
        return eventLog;
    }

    SlidingWindowRetryBudget retryAllowance(String service) {
        return retryAllowances.computeIfAbsent(
                service,
                name -> new SlidingWindowRetryBudget(
                        limits.retryRatio(), limits.fixedRetries(), limits.retryWindowMillis()));
    }

    /** Records that no instance could take a request. */
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

    /** Records that a request was assigned to an instance. */
    void recordAssignment(String capacityKey, Optional<ModelTarget> target) {
        capacityForecast.recordAssignment(capacityKey, Timestamp.monotonicNowMillis());
        target.ifPresent(missingTargets::recordPresent);
    }

    /**
     * Records that a request is refused: returns its tokens to the bucket of its team, and counts it as demand for a
     * limited time if its target is not loaded.
     */
    void recordRefusal(RequestExchange exchange, Shortage shortage) {
        refundRateTokens(exchange.admitted());
        if (shortage == Shortage.NOT_RESIDENT) {
            exchange.target().ifPresent(target -> missingTargets.recordRefusal(target, Timestamp.monotonicNowMillis()));
        }
    }

    private void refundRateTokens(AdmittedRequest admitted) {
        admitted.team()
                .filter(TeamLimits::rateLimited)
                .ifPresent(team -> view.bucket(team.name())
                        .ifPresent(bucket -> bucket.refund(
                                team.chargedTokens(admitted.caller().declaredTokens()))));
    }

    /** Records how long a completed request with a model or adapter ran. */
    void recordRun(long runMillis) {
        missingTargets.recordRun(runMillis);
    }

    /** Returns the expected time until the request can be assigned to an instance. */
    long expectedWaitMillis(RequestExchange exchange, Shortage shortage) {
        return exchange.target()
                .filter(target -> shortage == Shortage.NOT_RESIDENT)
                .map(target -> missingTargets.expectedAvailableMillis(
                        exchange.service(), target, Timestamp.monotonicNowMillis()))
                .orElseGet(() -> capacityForecast.expectedWaitMillis(
                        exchange.capacityKey(), queue.countAhead(exchange), Timestamp.monotonicNowMillis()));
    }

    /**
     * Reserves the time at which the caller of a refused request returns.
     *
     * @param exchange the request
     * @param delayMillis the minimum time until the return
     * @param maximumDelayMillis the time after which the caller would have to give up
     * @return the time until the return
     */
    long reserveReturn(RequestExchange exchange, long delayMillis, long maximumDelayMillis) {
        if (!uses(DispatchMechanism.SPACED_RETURNS)) {
            return delayMillis;
        }
        long now = Timestamp.monotonicNowMillis();
        String resource = exchange.capacityKey();
        return returnSchedule.reserve(
                resource,
                delayMillis,
                capacityForecast.assignmentIntervalMillis(resource, now),
                maximumDelayMillis,
                now);
    }

    /** Schedules a dispatch of the queue after the pending tasks of the event loop. */
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
     * Counts bytes that are buffered until a response or a stream event is complete.
     *
     * @param bytes the number of bytes added, or a negative number if they are released
     * @param totalBytes the resulting size of the response or event
     * @return whether the response or event may be buffered
     */
    boolean addBufferedBytes(long bytes, long totalBytes) {
        bufferedBytes += bytes;
        return bufferedBytes <= MAXIMUM_BUFFERED_BYTES || totalBytes <= GUARANTEED_BUFFER_BYTES;
    }

    long nextSequenceNumber() {
        return nextSequenceNumber++;
    }

    void openRequest(RequestExchange exchange) {
        openRequests.add(exchange);
    }

    void closeRequest(RequestExchange exchange) {
        openRequests.remove(exchange);
    }

    void changeRunning(ModelTarget target, int change) {
        runningByTarget.merge(target, change, Integer::sum);
        runningByTarget.remove(target, 0);
    }
}
