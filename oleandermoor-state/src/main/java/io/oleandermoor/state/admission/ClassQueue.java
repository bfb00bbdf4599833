package io.oleandermoor.state.admission;

import io.oleandermoor.state.admission.TeamQueue.QueuedRequest;
import io.oleandermoor.state.identity.TeamName;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToLongBiFunction;

/**
 * Waiting requests of one class. Serves the team with the smallest virtual token counter; serving a request adds its
 * tokens divided by the weight of the team. A team that becomes active starts at least at the counter of the last team
 * served, so it gains no credit while idle. The counter of an idle team is kept only while it is ahead of that counter.
 */
final class ClassQueue<K> {

    /** Counter units per token at weight 1; limits the rounding error of small charges at large weights. */
    private static final long COUNTER_UNITS_PER_TOKEN = 1_000_000;

    private final RequestClass requestClass;
    private final Map<TeamName, TeamQueue<K>> teams = new HashMap<>();
    private final TreeSet<TeamQueue<K>> active = new TreeSet<>(TeamQueue.BY_COUNTER);
    private final TreeSet<TeamQueue<K>> idle = new TreeSet<>(TeamQueue.BY_COUNTER);
    private long lastServedCounter;
    private long queuedTokens;
    private long activeWeight;

    ClassQueue(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    QueuedRequest<K> add(WaitingRequest<K> request, TeamName name, long weight, long arrival) {
        TeamQueue<K> team = teams.get(name);
        if (team == null) {
            team = new TeamQueue<>(name, requestClass, weight, lastServedCounter);
            teams.put(name, team);
        }
        if (team.requests.isEmpty()) {
            idle.remove(team);
            team.counter = Math.max(team.counter, lastServedCounter);
            active.add(team);
        } else {
            activeWeight -= team.weight;
        }
        team.weight = weight;
        activeWeight += team.weight;
        QueuedRequest<K> queued = new QueuedRequest<>(request, team, arrival);
        team.requests.add(queued);
        team.queuedTokens += request.tokens();
        queuedTokens += request.tokens();
        return queued;
    }

    /** Removes the next request and charges its team; the queue must not be empty. */
    QueuedRequest<K> poll() {
        TeamQueue<K> team = active.first();
        QueuedRequest<K> queued = team.requests.iterator().next();
        lastServedCounter = Math.max(lastServedCounter, team.counter);
        active.remove(team);
        team.counter += charge(queued.request.tokens(), team.weight);
        active.add(team);
        remove(queued);
        removeIdleTeams();
        return queued;
    }

    /** Removes a request without charging its team. */
    void remove(QueuedRequest<K> queued) {
        TeamQueue<K> team = queued.team;
        team.requests.remove(queued);
        team.queuedTokens -= queued.request.tokens();
        queuedTokens -= queued.request.tokens();
        if (team.requests.isEmpty()) {
            active.remove(team);
            activeWeight -= team.weight;
            idle.add(team);
            if (active.isEmpty()) {
                // No team is waiting, so no service is outstanding for any team.
                lastServedCounter = Math.max(lastServedCounter, idle.last().counter);
            }
            removeIdleTeams();
        }
    }

    /** Corrects the charge of a served request after its actual number of tokens is known. */
    void correctCharge(TeamName name, long weight, long chargedTokens, long actualTokens) {
        long difference = charge(actualTokens, weight) - charge(chargedTokens, weight);
        TeamQueue<K> team = teams.get(name);
        if (team == null) {
            if (difference > 0 && !active.isEmpty()) {
                team = new TeamQueue<>(name, requestClass, weight, lastServedCounter + difference);
                teams.put(name, team);
                idle.add(team);
            }
            return;
        }
        TreeSet<TeamQueue<K>> order = team.requests.isEmpty() ? idle : active;
        order.remove(team);
        team.counter += difference;
        order.add(team);
        removeIdleTeams();
    }

    /** Changes the weights of the known teams. Earlier charges do not change. */
    void updateWeights(ToLongBiFunction<TeamName, Long> weights) {
        activeWeight = 0;
        for (TeamQueue<K> team : teams.values()) {
            team.weight = weights.applyAsLong(team.name, team.weight);
            activeWeight += team.requests.isEmpty() ? 0 : team.weight;
        }
    }

    boolean isEmpty() {
        return active.isEmpty();
    }

    long queuedTokens() {
        return queuedTokens;
    }

    int queuedCount(TeamName name) {
        TeamQueue<K> team = teams.get(name);
        return team == null ? 0 : team.requests.size();
    }

    int teamCount() {
        return teams.size();
    }

    /** Returns the estimated number of tokens served before a new request of this team, at most all waiting tokens. */
    long tokensAhead(TeamName name, long weight) {
        TeamQueue<K> team = teams.get(name);
        long own = team == null ? 0 : team.queuedTokens;
        return (long) Math.min(queuedTokens, own * contentionFactor(name, weight));
    }

    /** Returns the ratio of the service of all active teams to the service of this team. */
    double contentionFactor(TeamName name, long weight) {
        long others = activeWeight - (queuedCount(name) > 0 ? weight : 0);
        return (double) (Math.max(0, others) + weight) / weight;
    }

    private void removeIdleTeams() {
        while (!idle.isEmpty() && idle.first().counter <= lastServedCounter) {
            teams.remove(idle.pollFirst().name);
        }
    }

    private static long charge(long tokens, long weight) {
        return tokens * COUNTER_UNITS_PER_TOKEN / weight;
    }
}
