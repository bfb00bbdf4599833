package io.oleandermoor.gateway.request;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.view.FleetView;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.SlotWaitEstimator;
import io.oleandermoor.state.dispatch.SlidingWindowRetryBudget;
import io.oleandermoor.state.residency.DemandTracker;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** What all requests of this entry share. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class RequestDesk {

    /** Waiting requests are offered a place at least this often; releases of places offer it at once. */
    private static final long OFFER_MILLIS = 25;

    /** Bytes of plain answers that are held at a time until they are whole: a sixth of the heap. */
    private static final long LARGEST_BUFFERED_BYTES = 16 << 20;

    private final EventLoop loop;
    private final FleetView view;
    private final UpstreamPool pool;
    private final Rules rules;
    private final WaitingLine line = new WaitingLine();
    private final SlotWaitEstimator places = new SlotWaitEstimator();
    private final DecisionLog log = new DecisionLog();
    private final Map<String, SlidingWindowRetryBudget> allowances = new HashMap<>();
    private final Map<ModelTarget, Integer> running = new HashMap<>();
    private final MissingTargets residency;
    private final SilenceWatch silence;
    private Runnable shortageListener = () -> {};
    private boolean offering;
    private long bufferedBytes;
    private long nextNumber;
    private int open;

    /**
     * Figures of the deployment that bind every request.
     *
     * @param keyLimitMillis the age of the confirmed configuration from which keys are no longer accepted
     * @param retryRatio the repeated sends that one request permits
     * @param retryFixed the repeated sends that all entries may make in a window besides
     * @param retryWindowMillis the length of that window
     */
    public record Rules(long keyLimitMillis, double retryRatio, double retryFixed, long retryWindowMillis) {}

    /**
     * Creates a desk without requests.
     *
     * @param loop the event loop
     * @param view what is believed of the deployment
     * @param pool the connections to instances
     * @param rules the figures of the deployment
     */
    public RequestDesk(EventLoop loop, FleetView view, UpstreamPool pool, Rules rules) {
        this.loop = loop;
        this.view = view;
        this.pool = pool;
        this.rules = rules;
        this.residency = new MissingTargets(view);
        this.silence = new SilenceWatch(view);
    }

    /** Starts to offer places to waiting requests. */
    public void start() {
        view.onChange(line::offer);
        // A late tick is not made up for, or a pause of this process would count as silence of others.
        loop.scheduleWithFixedDelay(
                silence::tick, SilenceWatch.TICK_MILLIS, SilenceWatch.TICK_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::tick, OFFER_MILLIS, OFFER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        line.offer();
        log.tick();
    }

    /** Sets the action that runs when a request waits for something that no instance holds. */
    public void onShortage(Runnable listener) {
        shortageListener = listener;
    }

    /** Returns what this entry has for each model and adapter. */
    public Map<ModelTarget, DemandTracker.RequestCounts> demand() {
        Map<ModelTarget, Integer> waiting = line.byTarget();
        residency
                .refusedLately(Moment.steadyNow())
                .forEach((target, count) -> waiting.merge(target, count, Integer::sum));
        Map<ModelTarget, DemandTracker.RequestCounts> wanted = new HashMap<>();
        running.forEach(
                (target, count) -> wanted.put(target, new DemandTracker.RequestCounts(count, waiting.getOrDefault(target, 0))));
        waiting.forEach((target, count) -> wanted.putIfAbsent(target, new DemandTracker.RequestCounts(0, count)));
        return wanted;
    }

    /** Refuses what waits, so that callers go to other entries. */
    public void stopping() {
        line.stopping();
    }

    /** Returns the requests that have no answer yet. */
    public int open() {
        return open;
    }

    EventLoop loop() {
        return loop;
    }

    FleetView view() {
        return view;
    }

    UpstreamPool pool() {
        return pool;
    }

    Rules rules() {
        return rules;
    }

    WaitingLine line() {
        return line;
    }

    SilenceWatch silence() {
        return silence;
    }

    DecisionLog log() {
        return log;
    }

    SlidingWindowRetryBudget allowance(String service) {
        return allowances.computeIfAbsent(
                service, name -> new SlidingWindowRetryBudget(rules.retryRatio(), rules.retryFixed(), rules.retryWindowMillis()));
    }

    /** Notes that no instance could take a request. */
    void shortage(Exchange exchange, Shortage shortage) {
        if (shortage == Shortage.NOT_RESIDENT) {
            exchange.target().ifPresent(target -> {
                if (!residency.isMissing(target)) {
                    shortageListener.run();
                }
                residency.missing(target, Moment.steadyNow());
            });
        }
    }

    /** Notes that a request got a place. */
    void placed(String need, Optional<ModelTarget> target) {
        places.recordAssignment(need, Moment.steadyNow());
        target.ifPresent(residency::present);
    }

    /** Notes that a request was refused for want of its model; it counts as demand for a while. */
    void refused(ModelTarget target) {
        residency.refused(target, Moment.steadyNow());
    }

    /** Returns the expected time until a place for a request is there. */
    long expectedPlaceMillis(Exchange exchange, Shortage shortage) {
        return exchange.target()
                .filter(target -> shortage == Shortage.NOT_RESIDENT)
                .map(target -> residency.expectedMillis(exchange.service(), target, Moment.steadyNow()))
                .orElseGet(() -> places.expectedWaitMillis(exchange.places(), line.ahead(exchange), Moment.steadyNow()));
    }

    /** Offers the places that have become free, once all events that have come are taken in. */
    void offerSoon() {
        if (!offering && line.size() > 0) {
            offering = true;
            loop.execute(() -> {
                offering = false;
                line.offer();
            });
        }
    }

    /**
     * Counts bytes of answers that are held until the answer is whole.
     *
     * @param bytes the bytes that are added, or negative if they are released
     * @return whether as many may be held
     */
    boolean buffer(long bytes) {
        bufferedBytes += bytes;
        return bufferedBytes <= LARGEST_BUFFERED_BYTES;
    }

    long nextNumber() {
        open++;
        return nextNumber++;
    }

    void closed() {
        open--;
    }

    void runs(ModelTarget target, int change) {
        running.merge(target, change, Integer::sum);
        running.remove(target, 0);
    }
}
