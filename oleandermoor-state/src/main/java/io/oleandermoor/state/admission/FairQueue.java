package io.oleandermoor.state.admission;

import io.oleandermoor.state.admission.AdmissionDecision.Queued;
import io.oleandermoor.state.admission.AdmissionDecision.Reason;
import io.oleandermoor.state.admission.AdmissionDecision.Refused;
import io.oleandermoor.state.admission.TeamQueue.Node;
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
 * Bounded queue in front of the slots of one upstream.
 *
 * <p>The caller offers each request, polls whenever a slot may be free, and reports each polled request with
 * {@link #finished}. It calls {@link #expire} before polling and refuses what that returns as not run.
 *
 * <p>Live work is served before batch work. While both wait, batch work receives its share of the served tokens: each
 * live request earns it credit, and a batch request is served once the credit is positive.
 *
 * <p>The expected wait follows from the tokens that are served before a request and the measured service rate. A
 * request whose wait exceeds its deadline is refused with the time after which the same request could be accepted if no
 * other work arrives. All tokens are upper bounds until {@link #finished} corrects the charge.
 *
 * <p>An operation costs O(log n) in the number of waiting requests and teams with waiting requests; teams without
 * recent work cost nothing. Not safe for use by several threads; the caller holds the lock of the admission table.
 *
 * @param <K> type of the keys of requests
 */
public final class FairQueue<K> {

    /** Stands for all teams when the policy does not separate them. */
    private static final TeamName ALL_TEAMS = new TeamName("all");

    /** A running request and where and at which weight its tokens were charged. */
    private record Running<K>(
            WaitingRequest<K> request, ClassQueue<K> queue, TeamName team, long weight, long startedMillis) {}

    private QueueSettings settings;
    private ClassQueue<K> live = new ClassQueue<>(RequestClass.LIVE);
    private ClassQueue<K> batch = new ClassQueue<>(RequestClass.BATCH);
    private final Map<K, Node<K>> waiting = new HashMap<>();
    private final TreeSet<Node<K>> byDeadline = new TreeSet<>(Node.BY_DEADLINE);
    private final Map<K, Running<K>> running = new HashMap<>();
    private final ServiceRate rate;
    private long arrivals;
    private long batchCredit;

    /**
     * Creates an empty queue.
     *
     * @param settings policy and bounds
     */
    public FairQueue(QueueSettings settings) {
        this.settings = settings;
        this.rate = new ServiceRate(settings.slots());
    }

    /**
     * Changes policy, bounds and weights. Waiting requests keep their order of arrival and stay, also beyond a smaller
     * bound; running requests keep their slots. A policy that separates teams differently starts with equal counters.
     *
     * @param next the settings from now on; the number of slots must not change
     * @param weights gives the weight of a team from the team and its weight so far, in 1..
     *     {@link WaitingRequest#MAXIMUM}
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
            live.reweigh(weights);
            batch.reweigh(weights);
        }
    }

    /** Puts all waiting requests into new queues, because the policy groups them differently. */
    private void regroup(ToLongBiFunction<TeamName, Long> weights) {
        List<Node<K>> nodes = new ArrayList<>(waiting.values());
        nodes.sort(Comparator.comparingLong(node -> node.arrival));
        live = new ClassQueue<>(RequestClass.LIVE);
        batch = new ClassQueue<>(RequestClass.BATCH);
        batchCredit = 0;
        byDeadline.clear();
        for (Node<K> old : nodes) {
            WaitingRequest<K> request = old.request;
            long weight = settings.policy().separatesTeams()
                    ? weights.applyAsLong(request.team(), request.weight())
                    : weight(request);
            Node<K> node = queue(request).add(request, team(request), weight, old.arrival);
            waiting.put(request.key(), node);
            byDeadline.add(node);
        }
    }

    /**
     * Offers a request.
     *
     * @param request the request; its key must not be waiting or running
     * @param nowMillis current time
     * @return whether it waits or is refused
     */
    public AdmissionDecision offer(WaitingRequest<K> request, long nowMillis) {
        if (waiting.containsKey(request.key()) || running.containsKey(request.key())) {
            throw new IllegalArgumentException("key must not be waiting or running: " + request.key());
        }
        TeamName team = team(request);
        ClassQueue<K> queue = queue(request);
        int queuedOfTeam = live.queuedOf(team) + batch.queuedOf(team);
        if (waiting.size() >= settings.maximumQueued()
                || queuedOfTeam >= settings.policy().teamLimit(settings, waiting.size())) {
            double untilNext = rate.millisFor(rate.meanTokens() * queue.contention(team, weight(request)));
            return new Refused(Math.max(1, (long) Math.ceil(untilNext)), Reason.QUEUE_FULL);
        }
        long wait = (long) Math.ceil(expectedWait(request));
        long inTime = (long) (request.deadline().remainingMillis(nowMillis)
                * (settings.policy().patiencePercent(settings) / 100.0));
        if (wait > inTime || request.deadline().hasPassed(nowMillis)) {
            return new Refused(Math.max(1, wait - Math.min(inTime, settings.maximumWaitMillis())), Reason.DEADLINE);
        }
        if (wait > settings.maximumWaitMillis()) {
            return new Refused(wait - settings.maximumWaitMillis(), Reason.WAIT_LIMIT);
        }
        Node<K> node = queue.add(request, team, weight(request), arrivals++);
        waiting.put(request.key(), node);
        byDeadline.add(node);
        return new Queued(wait);
    }

    /**
     * Takes the next request if a slot is free.
     *
     * @param nowMillis current time
     * @return the request to run
     */
    public Optional<WaitingRequest<K>> poll(long nowMillis) {
        if (running.size() >= settings.slots() || waiting.isEmpty()) {
            return Optional.empty();
        }
        boolean fromBatch = live.isEmpty() || (!batch.isEmpty() && batchCredit > 0);
        boolean contended = !live.isEmpty() && !batch.isEmpty();
        Node<K> node = fromBatch ? batch.poll() : live.poll();
        if (contended) {
            batchCredit += fromBatch
                    ? -node.request.tokens() * (100 - settings.batchSharePercent())
                    : node.request.tokens() * settings.batchSharePercent();
        }
        forget(node);
        running.put(
                node.request.key(),
                new Running<>(node.request, fromBatch ? batch : live, node.team.name, node.team.weight, nowMillis));
        return Optional.of(node.request);
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
        Running<K> ended = running.remove(key);
        if (ended == null) {
            return false;
        }
        WaitingRequest<K> request = ended.request();
        if (actualTokens > 0) {
            // Waiting requests are counted by their upper bound, so the rate is measured in the same unit.
            rate.add(request.tokens(), nowMillis - ended.startedMillis());
        }
        if (ended.queue() == live || ended.queue() == batch) {
            // Charges in queues of an earlier policy are not corrected: they do not count any more.
            ended.queue().correct(ended.team(), ended.weight(), request.tokens(), actualTokens);
        }
        return true;
    }

    /**
     * Removes a waiting request, for example because its caller has gone.
     *
     * @param key the key of the request
     * @return the request, empty if it does not wait
     */
    public Optional<WaitingRequest<K>> cancel(K key) {
        Node<K> node = waiting.get(key);
        if (node == null) {
            return Optional.empty();
        }
        queue(node.request).remove(node);
        forget(node);
        return Optional.of(node.request);
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
            Node<K> node = byDeadline.first();
            queue(node.request).remove(node);
            forget(node);
            expired.add(node.request);
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
     * Returns the time after which a new live request of a team without other work would start.
     *
     * @return milliseconds, for load reports
     */
    public long expectedWaitMillis() {
        return (long) Math.ceil(slotWait());
    }

    /** Returns the number of teams for which state is kept. */
    int teamCount() {
        return live.teamCount() + batch.teamCount();
    }

    private double expectedWait(WaitingRequest<K> request) {
        long weight = weight(request);
        TeamName team = team(request);
        int share = settings.batchSharePercent();
        if (queue(request) == live) {
            double ahead = live.tokensAhead(team, weight);
            // Waiting batch work takes its share in between; a share of 100 leaves live work almost none.
            double factor = batch.isEmpty() ? 1 : 100.0 / Math.max(1, 100 - share);
            return slotWait() + rate.millisFor(ahead * factor);
        }
        double ahead = batch.tokensAhead(team, weight);
        double afterLive = rate.millisFor(live.queuedTokens() + ahead);
        double byShare = share == 0 ? afterLive : rate.millisFor(ahead * 100.0 / share);
        return slotWait() + Math.min(afterLive, byShare);
    }

    private double slotWait() {
        return running.size() < settings.slots() ? 0 : rate.millisPerSlot();
    }

    private void forget(Node<K> node) {
        waiting.remove(node.request.key());
        byDeadline.remove(node);
        if (batch.isEmpty()) {
            // Credit is not saved for batch work that arrives later.
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
