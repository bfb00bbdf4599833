package io.oleandermoor.state.admission;

import io.oleandermoor.state.identity.TeamName;
import java.util.Comparator;
import java.util.LinkedHashSet;

/** Waiting requests of one team in one class, in order of arrival, with the virtual token counter of the team. */
final class TeamQueue<K> {

    /** A waiting request; compared by identity, ordered by deadline. */
    static final class QueuedRequest<K> {
        static final Comparator<QueuedRequest<?>> BY_DEADLINE = Comparator.<QueuedRequest<?>>comparingLong(
                        queued -> queued.request.deadline().atMillis())
                .thenComparingLong(queued -> queued.arrival);

        final WaitingRequest<K> request;
        final TeamQueue<K> team;
        final long arrival;

        QueuedRequest(WaitingRequest<K> request, TeamQueue<K> team, long arrival) {
            this.request = request;
            this.team = team;
            this.arrival = arrival;
        }
    }

    /** Orders by smallest counter first; the name makes the order total. */
    static final Comparator<TeamQueue<?>> BY_COUNTER =
            Comparator.<TeamQueue<?>>comparingLong(team -> team.counter).thenComparing(team -> team.name);

    final TeamName name;
    final RequestClass requestClass;
    final LinkedHashSet<QueuedRequest<K>> requests = new LinkedHashSet<>();
    long weight;
    long counter;
    long queuedTokens;

    TeamQueue(TeamName name, RequestClass requestClass, long weight, long counter) {
        this.name = name;
        this.requestClass = requestClass;
        this.weight = weight;
        this.counter = counter;
    }
}
