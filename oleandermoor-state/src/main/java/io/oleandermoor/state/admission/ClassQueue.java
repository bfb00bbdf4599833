package io.oleandermoor.state.admission;

import io.oleandermoor.state.admission.TeamQueue.QueuedRequest;
import io.oleandermoor.state.identity.TeamName;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToLongBiFunction;

/**
 * Waiting requests of one class. Serves the team with the smallest virtual counter; serving a request adds its tokens
 * divided by the weight. A team that becomes active starts at the counter of the last team served at least, so an idle
 * time gives no credit. Counters of idle teams are kept only while they are ahead of that.
 */
final class ClassQueue<K> {

    /** Units of the counter for one token at weight 1; keeps small charges of large weights exact enough. */
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

    /** Removes a request that is not served. */
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
                // Nobody waits, so nobody has received too little.
                lastServedCounter = Math.max(lastServedCounter, idle.last().counter);
            }
            removeIdleTeams();
        }
    }

    /** Changes the charge of a request that was served, when its tokens are known. */
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

    /** Changes the weights of the teams that are known here; what was served before keeps its charge. */
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

    /** Returns the tokens served before a new request of this team, at most all that wait. */
    long tokensAhead(TeamName name, long weight) {
        TeamQueue<K> team = teams.get(name);
        long own = team == null ? 0 : team.queuedTokens;
        return (long) Math.min(queuedTokens, own * contentionFactor(name, weight));
    }

    /** Returns by how many times the service of all teams exceeds that of this team while all are active. */
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
