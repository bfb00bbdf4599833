package io.oleandermoor.coordination.dissemination;

import io.oleandermoor.state.identity.InstanceId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;

/** What peers answered when they were asked how long ago their configuration was confirmed. Not thread-safe. */
public final class PeerConfirmations {

    /**
     * Age from which a peer counts as one that does not reach the key-value service. The readers confirm each second,
     * and every process that asks all others takes over the newest confirmation.
     */
    static final long UNCONFIRMED_MILLIS = 5_000;

    /** Time for which an answer counts; the question is repeated in less. */
    static final long VALID_MILLIS = 5_000;

    private final Map<InstanceId, Answer> answers = new HashMap<>();

    private Collection<InstanceId> asked = new HashSet<>();

    PeerConfirmations() {}

    /** Notes which peers are asked; answers of others are forgotten. */
    void ask(Collection<InstanceId> peers) {
        asked = new HashSet<>(peers);
        answers.keySet().retainAll(asked);
    }

    /** Notes an answer to a question that was sent at the time given. */
    void answered(InstanceId peer, Optional<ConfirmedVersion> confirmed, long sentMillis) {
        if (asked.contains(peer)) {
            boolean late = confirmed.isEmpty() || confirmed.get().ageMillis() >= UNCONFIRMED_MILLIS;
            answers.put(peer, new Answer(late, sentMillis));
        }
    }

    /**
     * Counts the peers that do not reach the key-value service, directly or through others.
     *
     * @param peers the peers that are connected now
     * @param nowMillis the present
     * @return how many of them said so lately
     */
    public int unconfirmed(Collection<InstanceId> peers, long nowMillis) {
        int count = 0;
        for (InstanceId peer : peers) {
            Answer answer = answers.get(peer);
            if (answer != null && answer.late && nowMillis - answer.sentMillis < VALID_MILLIS) {
                count++;
            }
        }
        return count;
    }

    private record Answer(boolean late, long sentMillis) {}
}
