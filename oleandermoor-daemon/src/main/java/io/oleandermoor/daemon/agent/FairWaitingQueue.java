package io.oleandermoor.daemon.agent;

import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.RequestClass;
import io.oleandermoor.state.admission.AdmissionDecision;
import io.oleandermoor.state.admission.AdmissionPolicy;
import io.oleandermoor.state.admission.Deadline;
import io.oleandermoor.state.admission.QueueSettings;
import io.oleandermoor.state.admission.SuspectQueue;
import io.oleandermoor.state.admission.WaitingRequest;
import io.oleandermoor.state.configuration.AdmissionSettings;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.ledger.AttemptKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * A waiting queue with the decisions of {@link SuspectQueue}. It follows the admission settings and team weights of the
 * configuration. Its lock has place 5 in the lock order.
 */
final class FairWaitingQueue implements WaitingQueue {

    /** Charge of a call of a plain service, which has no tokens. */
    private static final long SERVICE_CALL_TOKENS = 1;

    private final Object lock = new Object();

    private final SuspectQueue<AttemptKey> queue;

    private final Predicate<String> isSuspect;

    private final Map<AttemptKey, RunningAttempt> attempts = new ConcurrentHashMap<>();

    private final QueueSettings initial;

    private final LongSupplier nowMillis;

    /** Weights of the teams of the configuration in force; guarded by the lock. */
    private Map<TeamName, Long> weights = Map.of();

    /** Creates an empty queue with settings that apply until the first configuration arrives. */
    FairWaitingQueue(QueueSettings initial, Predicate<String> isSuspect, LongSupplier nowMillis) {
        this.initial = initial;
        this.queue = new SuspectQueue<>(initial);
        this.isSuspect = isSuspect;
        this.nowMillis = nowMillis;
    }

    /** Applies the admission settings and team weights of a configuration to waiting and later attempts. */
    void configure(Configuration configuration) {
        QueueSettings next = settings(configuration.settings().admission());
        Map<TeamName, Long> teams =
                configuration.teams().stream().collect(Collectors.toUnmodifiableMap(Team::name, Team::queueWeight));
        synchronized (lock) {
            weights = teams;
            queue.configure(next, teams::getOrDefault);
        }
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
            return queue.chargedFingerprints(nowMillis.getAsLong());
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

    private QueueSettings settings(AdmissionSettings admission) {
        return new QueueSettings(
                AdmissionPolicy.valueOf(admission.policy()),
                initial.slots(),
                initial.maximumQueued(),
                admission.worstServedWeight(),
                admission.refusalWeight(),
                admission.batchSharePercent(),
                initial.maximumWaitMillis());
    }

    /** The weight in the dispatch counts only for a team that this agent's configuration does not have yet. */
    private WaitingRequest<AttemptKey> toWaiting(RunningAttempt attempt, long nowMillis) {
        Dispatch dispatch = attempt.dispatch();
        TeamName team = new TeamName(dispatch.getTeam());
        long weight = weights.getOrDefault(team, dispatch.getTeamWeight());
        long tokens = (long) dispatch.getPromptTokens() + dispatch.getMaximumTokens();
        return new WaitingRequest<>(
                attempt.key(),
                team,
                Math.max(1, Math.min(WaitingRequest.MAXIMUM_WEIGHT_OR_TOKENS, weight)),
                dispatch.getRequestClass() == RequestClass.BATCH
                        ? io.oleandermoor.state.admission.RequestClass.BATCH
                        : io.oleandermoor.state.admission.RequestClass.LIVE,
                Math.max(SERVICE_CALL_TOKENS, Math.min(WaitingRequest.MAXIMUM_WEIGHT_OR_TOKENS, tokens)),
                new Deadline(nowMillis + dispatch.getRemainingMillis()));
    }
}
