package io.oleandermoor.state.admission;

import io.oleandermoor.state.admission.AdmissionDecision.Queued;
import io.oleandermoor.state.admission.AdmissionDecision.Reason;
import io.oleandermoor.state.admission.AdmissionDecision.Refused;
import io.oleandermoor.state.admission.TeamQueue.QueuedRequest;
import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToLongBiFunction;

/**
 * Bounded fair queue in front of the slots of one upstream.
 *
 * <p>The caller offers each request, polls whenever a slot may be free, and reports each polled request with
 * {@link #finished}. It calls {@link #expire} before polling and refuses the returned requests as not run.
 *
 * <p>Live work is served before batch work. While both wait, batch work receives its share of the served tokens: each
 * served live request adds credit for batch work, and a batch request is served once the credit is positive.
 *
 * <p>The expected wait is computed from the number of tokens that are served before a request and the measured service
 * rate. A request whose wait exceeds its deadline is refused with the time after which the same request could be
 * accepted if no other requests arrive. All token counts are upper bounds until {@link #finished} corrects the charge.
 *
 * <p>An operation costs O(log n) in the number of waiting requests and teams with waiting requests; teams without
 * recent requests use no memory. Not thread-safe; the caller must hold the lock of the admission table.
 *
 * @param <K> type of the keys of requests
 */
public final class FairQueue<K> {

    /** Placeholder for all teams if the policy does not separate them. */
    private static final TeamName ALL_TEAMS = new TeamName("all");

    /** A running request with the queue, team and weight to which its tokens were charged. */
    private record RunningRequest<K>(
            WaitingRequest<K> request, ClassQueue<K> queue, TeamName team, long weight, long startedMillis) {}

    private QueueSettings settings;
    private ClassQueue<K> live = new ClassQueue<>(RequestClass.LIVE);
    private ClassQueue<K> batch = new ClassQueue<>(RequestClass.BATCH);
    private final Map<K, QueuedRequest<K>> waiting = new HashMap<>();
    private final TreeSet<QueuedRequest<K>> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);
    private final Map<K, RunningRequest<K>> running = new HashMap<>();
    private final ServiceRate serviceRate;
    private long nextArrival;
    private long batchCredit;

    /**
     * Creates an empty queue.
     *
     * @param settings policy and limits
     */
    public FairQueue(QueueSettings settings) {
        this.settings = settings;
        this.serviceRate = new ServiceRate(settings.slots());
    }

    /**
     * Changes policy, limits and weights. Waiting requests keep their order of arrival and stay queued even above a
     * lowered limit; running requests keep their slots. A policy that separates teams differently starts with equal
     * counters.
     *
     * @param next the settings from now on; the number of slots must not change
     * @param weights returns the new weight of a team, given the team and its current weight, in 1..
     *     {@link WaitingRequest#MAXIMUM_WEIGHT_OR_TOKENS}
     */
    public void configure(QueueSettings next, ToLongBiFunction<TeamName, Long> weights) {
        if (next.slots() != settings.slots()) {
            throw new IllegalArgumentException("slots must stay " + settings.slots() + ": " + next.slots());
        }
        boolean regroup = next.policy().separatesTeams() != settings.policy().separatesTeams();
        settings = next;
        if (regroup) {
            regroup(weights);
        } else if (settings.policy().separatesTeams()) {
            live.updateWeights(weights);
            batch.updateWeights(weights);
        }
    }

    /** Moves all waiting requests into new queues, because the policy groups them differently. */
    private void regroup(ToLongBiFunction<TeamName, Long> weights) {
        List<QueuedRequest<K>> queuedRequests = new ArrayList<>(waiting.values());
        queuedRequests.sort(Comparator.comparingLong(queued -> queued.arrival));
        live = new ClassQueue<>(RequestClass.LIVE);
        batch = new ClassQueue<>(RequestClass.BATCH);
        batchCredit = 0;
        byDeadline.clear();
        for (QueuedRequest<K> old : queuedRequests) {
            WaitingRequest<K> request = old.request;
            long weight = settings.policy().separatesTeams()
                    ? weights.applyAsLong(request.team(), request.weight())
                    : weight(request);
            QueuedRequest<K> queued = queue(request).add(request, team(request), weight, old.arrival);
            waiting.put(request.key(), queued);
            byDeadline.add(queued);
        }
    }

    /**
     * Offers a request.
     *
     * @param request the request; its key must not be waiting or running
     * @param nowMillis current time
     * @return whether the request is queued or refused
     */
    public AdmissionDecision offer(WaitingRequest<K> request, long nowMillis) {
        if (waiting.containsKey(request.key()) || running.containsKey(request.key())) {
            throw new IllegalArgumentException("key must not be waiting or running: " + request.key());
        }
        TeamName team = team(request);
        ClassQueue<K> queue = queue(request);
        int queuedOfTeam = live.queuedCount(team) + batch.queuedCount(team);
        if (waiting.size() >= settings.maximumQueued()
                || queuedOfTeam >= settings.policy().teamLimit(settings, waiting.size())) {
            double millisUntilNext =
                    serviceRate.millisFor(serviceRate.meanTokens() * queue.contentionFactor(team, weight(request)));
            return new Refused(Math.max(1, (long) Math.ceil(millisUntilNext)), Reason.QUEUE_FULL);
        }
        long wait = (long) Math.ceil(estimatedWaitMillis(request));
        long maximumWait = (long) (request.deadline().remainingMillis(nowMillis)
                * (settings.policy().deadlineTolerancePercent(settings) / 100.0));
        if (wait > maximumWait || request.deadline().hasPassed(nowMillis)) {
            return new Refused(
                    Math.max(1, wait - Math.min(maximumWait, settings.maximumWaitMillis())), Reason.DEADLINE);
        }
        if (wait > settings.maximumWaitMillis()) {
            return new Refused(wait - settings.maximumWaitMillis(), Reason.WAIT_LIMIT);
        }
        QueuedRequest<K> queued = queue.add(request, team, weight(request), nextArrival++);
        waiting.put(request.key(), queued);
        byDeadline.add(queued);
        return new Queued(wait);
    }

    /**
     * Takes the next request if a slot is free.
     *
     * @param nowMillis current time
     * @return the request to run, or empty if no slot is free or no request waits
     */
    public Optional<WaitingRequest<K>> poll(long nowMillis) {
        if (running.size() >= settings.slots() || waiting.isEmpty()) {
            return Optional.empty();
        }
        boolean fromBatch = live.isEmpty() || (!batch.isEmpty() && batchCredit > 0);
        boolean contended = !live.isEmpty() && !batch.isEmpty();
        QueuedRequest<K> queued = fromBatch ? batch.poll() : live.poll();
        if (contended) {
            batchCredit += fromBatch
                    ? -queued.request.tokens() * (100 - settings.batchSharePercent())
                    : queued.request.tokens() * settings.batchSharePercent();
        }
        untrack(queued);
        running.put(
                queued.request.key(),
                new RunningRequest<>(
                        queued.request, fromBatch ? batch : live, queued.team.name, queued.team.weight, nowMillis));
        return Optional.of(queued.request);
    }

    /**
     * Reports that a polled request has ended and frees its slot.
     *
     * @param key the key of the request
     * @param actualTokens tokens that it used, 0 if it did not run
     * @param nowMillis current time
     * @return whether the request was running
     */
    public boolean finished(K key, long actualTokens, long nowMillis) {
        if (actualTokens < 0) {
            throw new IllegalArgumentException("actualTokens must not be negative: " + actualTokens);
        }
        RunningRequest<K> ended = running.remove(key);
        if (ended == null) {
            return false;
        }
        WaitingRequest<K> request = ended.request();
        if (actualTokens > 0) {
            // Waiting requests count with their upper bound of tokens, so the rate is measured in the same unit.
            serviceRate.addSample(request.tokens(), nowMillis - ended.startedMillis());
        }
        if (ended.queue() == live || ended.queue() == batch) {
            // Charges in queues of an earlier policy no longer count and are not corrected.
            ended.queue().correctCharge(ended.team(), ended.weight(), request.tokens(), actualTokens);
        }
        return true;
    }

    /**
     * Removes a waiting request, for example because its caller has disconnected.
     *
     * @param key the key of the request
     * @return the request, or empty if it is not waiting
     */
    public Optional<WaitingRequest<K>> cancel(K key) {
        QueuedRequest<K> queued = waiting.get(key);
        if (queued == null) {
            return Optional.empty();
        }
        queue(queued.request).remove(queued);
        untrack(queued);
        return Optional.of(queued.request);
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowMillis current time
     * @return the requests, earliest deadline first
     */
    public List<WaitingRequest<K>> expire(long nowMillis) {
        List<WaitingRequest<K>> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().request.deadline().hasPassed(nowMillis)) {
            QueuedRequest<K> queued = byDeadline.first();
            queue(queued.request).remove(queued);
            untrack(queued);
            expired.add(queued.request);
        }
        return expired;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return a count
     */
    public int waitingCount() {
        return waiting.size();
    }

    /**
     * Returns the number of running requests.
     *
     * @return a count
     */
    public int runningCount() {
        return running.size();
    }

    /**
     * Returns the expected wait of a new live request of a team without other requests.
     *
     * @return the expected wait in milliseconds, for load reports
     */
    public long expectedWaitMillis() {
        return (long) Math.ceil(slotWaitMillis());
    }

    /** Returns the number of teams for which state is kept. */
    int teamCount() {
        return live.teamCount() + batch.teamCount();
    }

    private double estimatedWaitMillis(WaitingRequest<K> request) {
        long weight = weight(request);
        TeamName team = team(request);
        int share = settings.batchSharePercent();
        if (queue(request) == live) {
            double ahead = live.tokensAhead(team, weight);
            // While batch work waits, it receives its share of the served tokens; a share of 100 leaves almost none
            // to live work.
            double factor = batch.isEmpty() ? 1 : 100.0 / Math.max(1, 100 - share);
            return slotWaitMillis() + serviceRate.millisFor(ahead * factor);
        }
        double ahead = batch.tokensAhead(team, weight);
        double afterLive = serviceRate.millisFor(live.queuedTokens() + ahead);
        double byShare = share == 0 ? afterLive : serviceRate.millisFor(ahead * 100.0 / share);
        return slotWaitMillis() + Math.min(afterLive, byShare);
    }

    private double slotWaitMillis() {
        return running.size() < settings.slots() ? 0 : serviceRate.millisBetweenFreeSlots();
    }

    private void untrack(QueuedRequest<K> queued) {
        waiting.remove(queued.request.key());
        byDeadline.remove(queued);
        if (batch.isEmpty()) {
            // Credit is not accumulated for batch work that arrives later.
            batchCredit = Math.min(0, batchCredit);
        }
    }

    private ClassQueue<K> queue(WaitingRequest<K> request) {
        boolean isBatch = settings.policy().separatesTeams() && request.requestClass() == RequestClass.BATCH;
        return isBatch ? batch : live;
    }

    private TeamName team(WaitingRequest<K> request) {
        return settings.policy().separatesTeams() ? request.team() : ALL_TEAMS;
    }

    private long weight(WaitingRequest<K> request) {
        return settings.policy().separatesTeams() ? request.weight() : 1;
    }
}
