package io.oleandermoor.daemon.agent;

import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.RequestClass;
import io.oleandermoor.state.admission.AdmissionDecision;
import io.oleandermoor.state.admission.Deadline;
import io.oleandermoor.state.admission.QueueSettings;
import io.oleandermoor.state.admission.SuspectQueue;
import io.oleandermoor.state.admission.WaitingRequest;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.ledger.AttemptKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/** A waiting queue with the decisions of {@link SuspectQueue}. Its lock has place 5 in the lock order. */
final class FairWaitingQueue implements WaitingQueue {

    /** Charge of a call of a plain service, which has no tokens. */
    private static final long SERVICE_CALL_TOKENS = 1;

    private final Object lock = new Object();

    private final SuspectQueue<AttemptKey> queue;

    private final Predicate<String> isSuspect;

    private final Map<AttemptKey, RunningAttempt> attempts = new ConcurrentHashMap<>();

    private final LongSupplier nowMillis;

    FairWaitingQueue(QueueSettings settings, Predicate<String> isSuspect, LongSupplier nowMillis) {
        this.queue = new SuspectQueue<>(settings);
        this.isSuspect = isSuspect;
        this.nowMillis = nowMillis;
    }

    @Override
    public Optional<Long> offer(RunningAttempt attempt) {
        long now = nowMillis.getAsLong();
        synchronized (lock) {
            AdmissionDecision decision = queue.offer(toWaiting(attempt, now), attempt.fingerprint(), isSuspect, now);
            if (decision instanceof AdmissionDecision.Refused refused) {
                return Optional.of(refused.retryAfterMillis());
            }
            attempts.put(attempt.key(), attempt);
            return Optional.empty();
        }
    }

    @Override
    public Optional<RunningAttempt> poll() {
        synchronized (lock) {
            return queue.poll(isSuspect, nowMillis.getAsLong()).map(request -> attempts.remove(request.key()));
        }
    }

    @Override
    public void remove(RunningAttempt attempt) {
        synchronized (lock) {
            queue.cancel(attempt.key());
            attempts.remove(attempt.key());
        }
    }

    @Override
    public void release(RunningAttempt attempt, long usedTokens) {
        synchronized (lock) {
            queue.finished(attempt.key(), usedTokens, nowMillis.getAsLong());
        }
    }

    @Override
    public List<RunningAttempt> expire() {
        synchronized (lock) {
            return queue.expire(nowMillis.getAsLong()).stream()
                    .map(request -> Optional.ofNullable(attempts.remove(request.key())))
                    .flatMap(Optional::stream)
                    .toList();
        }
    }

    @Override
    public Set<String> charged() {
        synchronized (lock) {
            return queue.charged(nowMillis.getAsLong());
        }
    }

    @Override
    public int running() {
        synchronized (lock) {
            return queue.runningCount();
        }
    }

    @Override
    public int waiting() {
        synchronized (lock) {
            return queue.waitingCount();
        }
    }

    @Override
    public long expectedWaitMillis() {
        synchronized (lock) {
            return queue.expectedWaitMillis();
        }
    }

    private static WaitingRequest<AttemptKey> toWaiting(RunningAttempt attempt, long nowMillis) {
        Dispatch dispatch = attempt.dispatch();
        long tokens = (long) dispatch.getPromptTokens() + dispatch.getMaximumTokens();
        return new WaitingRequest<>(
                attempt.key(),
                new TeamName(dispatch.getTeam()),
                Math.max(1, Math.min(WaitingRequest.MAXIMUM, dispatch.getTeamWeight())),
                dispatch.getRequestClass() == RequestClass.BATCH
                        ? io.oleandermoor.state.admission.RequestClass.BATCH
                        : io.oleandermoor.state.admission.RequestClass.LIVE,
                Math.max(SERVICE_CALL_TOKENS, Math.min(WaitingRequest.MAXIMUM, tokens)),
                new Deadline(nowMillis + dispatch.getRemainingMillis()));
    }
}
