package io.oleandermoor.daemon.rate;

import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateClient;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateDecision;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateResponse;
import io.oleandermoor.state.rate.RateSettings;
import io.oleandermoor.state.rate.Reservation;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The tokens that this entry may spend. Reservations that need the owner wait for its answer. Safe for use by several
 * threads; its lock has place 4 in the lock order, and callbacks run outside it.
 */
public final class TokenLedger {

    /** Time between two calls of {@link #tick}, in milliseconds. */
    public static final long TICK_MILLIS = 50;

    /** Longest time that a reservation waits for the owner, in milliseconds. */
    private static final long MAXIMUM_WAIT_MILLIS = 1_500;

    private final Object lock = new Object();

    private final RateClient[] clients = new RateClient[RateGroups.COUNT];

    private final List<Queue<Waiting>> waiting = new ArrayList<>();

    private final RateLink link;

    private final LongSupplier nowMillis;

    /**
     * Creates the ledger without tokens.
     *
     * @param settings settings of the deployment
     * @param client this process
     * @param link sends requests to the owners
     * @param nowMillis the monotonic clock in milliseconds
     */
    public TokenLedger(RateSettings settings, RateClientId client, RateLink link, LongSupplier nowMillis) {
        this.link = link;
        this.nowMillis = nowMillis;
        for (int group = 0; group < RateGroups.COUNT; group++) {
            clients[group] = new RateClient(settings, client, nowMillis.getAsLong());
            waiting.add(new ArrayDeque<>());
        }
    }

    /**
     * Replaces the limits of the teams.
     *
     * @param configuration the configuration in force
     */
    public void configure(Configuration configuration) {
        synchronized (lock) {
            for (int group = 0; group < RateGroups.COUNT; group++) {
                clients[group].configure(RateGroups.limits(configuration, group), nowMillis.getAsLong());
            }
        }
    }

    /**
     * States that the registration of this process was written.
     *
     * @param writtenMillis when the write was confirmed
     */
    public void registered(long writtenMillis) {
        synchronized (lock) {
            for (RateClient client : clients) {
                client.registered(writtenMillis);
            }
        }
    }

    /**
     * Takes tokens for a request.
     *
     * @param team the team
     * @param tokens the most tokens that the request may use, positive
     * @param answer receives a decision other than {@link RateDecision.AskOwner}, once
     */
    public void reserve(TeamName team, long tokens, Consumer<RateDecision> answer) {
        int group = RateGroups.of(team);
        RateDecision decision;
        synchronized (lock) {
            decision = clients[group].reserve(team, tokens, nowMillis.getAsLong());
            if (decision instanceof RateDecision.AskOwner) {
                waiting.get(group).add(new Waiting(team, tokens, nowMillis.getAsLong(), answer));
            }
        }
        if (decision instanceof RateDecision.AskOwner) {
            sendDue(group);
        } else {
            answer.accept(decision);
        }
    }

    /**
     * Gives back the unused part of a reservation.
     *
     * @param reservation the reservation
     * @param usedTokens the tokens that were used
     */
    public void settle(Reservation reservation, long usedTokens) {
        synchronized (lock) {
            clients[RateGroups.of(reservation.team())].settle(reservation, usedTokens);
        }
    }

    /**
     * Takes the answer of an owner.
     *
     * @param group the group
     * @param response the answer
     */
    public void accept(int group, RateResponse response) {
        if (group < 0 || group >= RateGroups.COUNT) {
            return;
        }
        synchronized (lock) {
            clients[group].accept(response, nowMillis.getAsLong());
        }
        decideWaiting(group);
    }

    /** Sends what is due and decides reservations that have waited too long. */
    public void tick() {
        for (int group = 0; group < RateGroups.COUNT; group++) {
            sendDue(group);
            decideWaiting(group);
        }
    }

    private void sendDue(int group) {
        Optional<RateRequest> due;
        synchronized (lock) {
            due = clients[group].nextRequest(nowMillis.getAsLong());
        }
        due.ifPresent(request -> link.send(group, request));
    }

    /** Reserves again for those that wait, in their order; who still has to ask goes on waiting. */
    private void decideWaiting(int group) {
        List<Runnable> answers = new ArrayList<>();
        boolean asked = false;
        synchronized (lock) {
            long now = nowMillis.getAsLong();
            Queue<Waiting> queue = waiting.get(group);
            for (int remaining = queue.size(); remaining > 0; remaining--) {
                Waiting next = queue.remove();
                RateDecision decision = clients[group].reserve(next.team, next.tokens, now);
                if (!(decision instanceof RateDecision.AskOwner)) {
                    answers.add(() -> next.answer.accept(decision));
                } else if (now - next.sinceMillis > MAXIMUM_WAIT_MILLIS) {
                    answers.add(() -> next.answer.accept(new RateDecision.Refused(MAXIMUM_WAIT_MILLIS)));
                } else {
                    queue.add(next);
                    asked = true;
                }
            }
        }
        answers.forEach(Runnable::run);
        if (asked) {
            sendDue(group);
        }
    }

    private record Waiting(TeamName team, long tokens, long sinceMillis, Consumer<RateDecision> answer) {}
}
