package io.oleandermoor.coordination.lease;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.OptionalInt;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The state of one name in a lease keeper. Guarded by the keeper's lock. */
final class Candidacy {

    private static final Logger LOG = LogManager.getLogger(Candidacy.class);

    private static final int NOT_A_CANDIDATE = -1;

    final String name;
    Optional<Ownership> term = Optional.empty();
    boolean attempting;
    /** Revision of the last term that ended; a term of this or an earlier revision is never resumed. */
    long endedRevision;

    private final OwnedRole role;
    private final Scheduler.Worker worker;
    private long nextLookMillis = Long.MIN_VALUE;
    private int lastRank = NOT_A_CANDIDATE;
    private Optional<Long> notFirstSinceMillis = Optional.empty();

    Candidacy(String name, OwnedRole role, Scheduler scheduler) {
        this.name = name;
        this.role = role;
        this.worker = scheduler.createWorker();
    }

    /** Returns whether the rank is to be looked at now. Ranks cost one hash for each member, so not at each tick. */
    boolean isDue(long nowMillis, LeaseSettings settings) {
        if (attempting || nowMillis < nextLookMillis) {
            return false;
        }
        nextLookMillis = nowMillis + settings.attemptMillis();
        return true;
    }

    /** Decides whether to try now; a true answer must be followed by an attempt. */
    boolean shouldAttempt(OptionalInt rank, long nowMillis, LeaseSettings settings) {
        if (rank.isEmpty()) {
            lastRank = NOT_A_CANDIDATE;
            return false;
        }
        boolean late = lastRank == NOT_A_CANDIDATE && rank.getAsInt() > 0;
        lastRank = rank.getAsInt();
        if (late) {
            // Later choices wait, so that the first choice takes the name when several processes start together.
            nextLookMillis = nowMillis + rank.getAsInt() * settings.attemptMillis();
            return false;
        }
        attempting = true;
        return true;
    }

    /** Decides whether the owner hands the name over because another process has been the first choice for long. */
    boolean shouldHandOver(OptionalInt rank, long nowMillis, LeaseSettings settings) {
        if (rank.isPresent() && rank.getAsInt() == 0) {
            notFirstSinceMillis = Optional.empty();
            return false;
        }
        if (notFirstSinceMillis.isEmpty()) {
            notFirstSinceMillis = Optional.of(nowMillis);
        }
        return nowMillis - notFirstSinceMillis.get() >= settings.handBackAfter().toMillis();
    }

    void started(Ownership started) {
        term = Optional.of(started);
        notFirstSinceMillis = Optional.empty();
        run(() -> role.started(started));
    }

    void ended(Ownership ended) {
        ended.end();
        endedRevision = ended.fencing().value();
        term = Optional.empty();
        // Gives the first choice time to take a name that is handed over.
        lastRank = NOT_A_CANDIDATE;
        nextLookMillis = Long.MIN_VALUE;
        run(() -> role.ended(ended));
    }

    private void run(Runnable call) {
        var unused = worker.schedule(() -> {
            try {
                call.run();
            } catch (RuntimeException failure) {
                LOG.error("event=role-failed name={} error=\"{}\"", name, failure.toString(), failure);
            }
        });
    }
}
