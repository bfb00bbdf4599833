package io.oleandermoor.state.admission;

import io.oleandermoor.state.admission.TeamQueue.Node;
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
    private static final long COUNTER_PER_TOKEN = 1_000_000;

    private final RequestClass requestClass;
    private final Map<TeamName, TeamQueue<K>> teams = new HashMap<>();
    private final TreeSet<TeamQueue<K>> active = new TreeSet<>(TeamQueue.BY_COUNTER);
    private final TreeSet<TeamQueue<K>> idle = new TreeSet<>(TeamQueue.BY_COUNTER);
    private long servedCounter;
    private long queuedTokens;
    private long activeWeight;

    ClassQueue(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    Node<K> add(WaitingRequest<K> request, TeamName name, long weight, long arrival) {
        TeamQueue<K> team = teams.get(name);
        if (team == null) {
            team = new TeamQueue<>(name, requestClass, weight, servedCounter);
            teams.put(name, team);
        }
        if (team.nodes.isEmpty()) {
            idle.remove(team);
            team.counter = Math.max(team.counter, servedCounter);
            active.add(team);
        } else {
            activeWeight -= team.weight;
        }
        team.weight = weight;
        activeWeight += team.weight;
        Node<K> node = new Node<>(request, team, arrival);
        team.nodes.add(node);
        team.queuedTokens += request.tokens();
        queuedTokens += request.tokens();
        return node;
    }

    /** Removes the next request and charges its team; the queue must not be empty. */
    Node<K> poll() {
        TeamQueue<K> team = active.first();
        Node<K> node = team.nodes.iterator().next();
        servedCounter = Math.max(servedCounter, team.counter);
        active.remove(team);
        team.counter += charge(node.request.tokens(), team.weight);
        active.add(team);
        remove(node);
        forgetIdle();
        return node;
    }

    /** Removes a request that is not served. */
    void remove(Node<K> node) {
        TeamQueue<K> team = node.team;
        team.nodes.remove(node);
        team.queuedTokens -= node.request.tokens();
        queuedTokens -= node.request.tokens();
        if (team.nodes.isEmpty()) {
            active.remove(team);
            activeWeight -= team.weight;
            idle.add(team);
            if (active.isEmpty()) {
                // Nobody waits, so nobody has received too little.
                servedCounter = Math.max(servedCounter, idle.last().counter);
            }
            forgetIdle();
        }
    }

    /** Changes the charge of a request that was served, when its tokens are known. */
    void correct(TeamName name, long weight, long chargedTokens, long actualTokens) {
        long difference = charge(actualTokens, weight) - charge(chargedTokens, weight);
        TeamQueue<K> team = teams.get(name);
        if (team == null) {
            if (difference > 0 && !active.isEmpty()) {
                team = new TeamQueue<>(name, requestClass, weight, servedCounter + difference);
                teams.put(name, team);
                idle.add(team);
            }
            return;
        }
        TreeSet<TeamQueue<K>> order = team.nodes.isEmpty() ? idle : active;
        order.remove(team);
        team.counter += difference;
        order.add(team);
        forgetIdle();
    }

    /** Changes the weights of the teams that are known here; what was served before keeps its charge. */
    void reweigh(ToLongBiFunction<TeamName, Long> weights) {
        activeWeight = 0;
        for (TeamQueue<K> team : teams.values()) {
            team.weight = weights.applyAsLong(team.name, team.weight);
            activeWeight += team.nodes.isEmpty() ? 0 : team.weight;
        }
    }

    boolean isEmpty() {
        return active.isEmpty();
    }

    long queuedTokens() {
        return queuedTokens;
    }

    int queuedOf(TeamName name) {
        TeamQueue<K> team = teams.get(name);
        return team == null ? 0 : team.nodes.size();
    }

    int teamCount() {
        return teams.size();
    }

    /** Returns the tokens served before a new request of this team, at most all that wait. */
    long tokensAhead(TeamName name, long weight) {
        TeamQueue<K> team = teams.get(name);
        long own = team == null ? 0 : team.queuedTokens;
        return (long) Math.min(queuedTokens, own * contention(name, weight));
    }

    /** Returns by how many times the service of all teams exceeds that of this team while all are active. */
    double contention(TeamName name, long weight) {
        long others = activeWeight - (queuedOf(name) > 0 ? weight : 0);
        return (double) (Math.max(0, others) + weight) / weight;
    }

    private void forgetIdle() {
        while (!idle.isEmpty() && idle.first().counter <= servedCounter) {
            teams.remove(idle.pollFirst().name);
        }
    }

    private static long charge(long tokens, long weight) {
        return tokens * COUNTER_PER_TOKEN / weight;
    }
}
