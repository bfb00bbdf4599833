package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptDecision.DropReason;
import io.oleandermoor.state.ledger.AttemptDecision.ReplyReason;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the attempts of one caller request and decides after each event what the entry does next. A non-repeatable
 * request is attempted again only after the agent has confirmed that the last attempt did not run. The outcome NOT_RUN
 * is reported only if this holds for every attempt. Not thread-safe; an entry handles the events of a request
 * sequentially.
 */
public final class AttemptTracker {

    private static final AttemptDecision AWAIT = new AttemptDecision.Await();
    private static final AttemptDecision DROP_FOREIGN = new AttemptDecision.Drop(DropReason.FOREIGN);
    private static final AttemptDecision DROP_REPEATED = new AttemptDecision.Drop(DropReason.REPEATED);
    private static final AttemptDecision DROP_GAP = new AttemptDecision.Drop(DropReason.GAP);
    private static final AttemptDecision DROP_ENDED = new AttemptDecision.Drop(DropReason.ENDED);

    private final TrackedRequest request;
    private final RetryPermission permission;
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private @Nullable AttemptKey currentAttempt;
    private @Nullable UpstreamId upstream;
    private long incarnation;
    private long sentAtMillis;
    private int attemptCount;
    private int movedAttemptCount;
    private int nextOffset;
    private boolean attachPending;
    private boolean cancelRequested;
    private boolean callerDisconnected;
    private boolean mayHaveRun;
    private boolean ended;

    /**
     * Creates a tracker for a request that has not been sent to an upstream.
     *
     * @param request the request to track
     * @param permission the retry budget
     */
    public AttemptTracker(TrackedRequest request, RetryPermission permission) {
        this.request = request;
        this.permission = permission;
    }

    /**
     * Begins the next attempt. Must be called before the dispatch message is handed to a connection.
     *
     * @param chosen the upstream chosen for the attempt
     * @param agentIncarnation the incarnation of the agent of that upstream
     * @param nowMillis the current time, in milliseconds
     * @return the key of the attempt
     * @throws IllegalStateException if an attempt is in progress or the request has ended
     */
    public AttemptKey begin(UpstreamId chosen, long agentIncarnation, long nowMillis) {
        if (currentAttempt != null || ended) {
            throw new IllegalStateException(
                    "request " + request.id() + " already has an attempt in progress or has ended");
        }
        attemptCount++;
        AttemptKey key = new AttemptKey(request.id(), attemptCount);
        currentAttempt = key;
        upstream = chosen;
        incarnation = agentIncarnation;
        sentAtMillis = nowMillis;
        attachPending = false;
        return key;
    }

    /**
     * Returns the number of tokens that were forwarded to the caller so far.
     *
     * @return the offset of the next token
     */
    public int nextOffset() {
        return nextOffset;
    }

    /**
     * Returns whether the request has ended.
     *
     * @return true if all further events are dropped
     */
    public boolean isEnded() {
        return ended;
    }

    /**
     * Handles an event and decides what the entry does next.
     *
     * @param event the event to handle
     * @param nowMillis the current time, in milliseconds
     * @return the next action of the entry
     */
    public AttemptDecision onEvent(AttemptEvent event, long nowMillis) {
        if (ended) {
            return DROP_ENDED;
        }
        if (event instanceof AttemptEvent.AttemptScoped scoped) {
            AttemptKey key = currentAttempt;
            return key == null || !scoped.key().equals(key) ? DROP_FOREIGN : onAttempt(scoped, key, nowMillis);
        }
        if (event instanceof AttemptEvent.NoUpstream none) {
            return reply(notRunOrUnknown(), ReplyReason.NO_UPSTREAM, none.retryAfterMillis());
        }
        if (event instanceof AttemptEvent.DeadlineExceeded) {
            return onDeadline();
        }
        if (event instanceof AttemptEvent.CallerDisconnected) {
            return onCallerDisconnected();
        }
        return cancelRequested ? reply(Outcome.UNKNOWN, ReplyReason.DEADLINE, 0) : AWAIT;
    }

    private AttemptDecision onAttempt(AttemptEvent.AttemptScoped event, AttemptKey key, long nowMillis) {
        if (event instanceof AttemptEvent.ChunkReceived received) {
            return onChunk(received.chunk(), key);
        }
        if (event instanceof AttemptEvent.Finished finished) {
            return onFinished(finished.result(), key, nowMillis);
        }
        if (event instanceof AttemptEvent.NotRun notRun) {
            // A later incarnation of the agent does not know whether the attempt ran before the restart.
            return notRun.incarnation() == incarnation
                    ? onNotRun(notRun.reason(), notRun.retryAfterMillis(), nowMillis)
                    : onLost(Optional.empty(), nowMillis);
        }
        if (event instanceof AttemptEvent.NotSent) {
            return onNotRun(NotRunReason.UPSTREAM_UNREACHABLE, 0, nowMillis);
        }
        if (event instanceof AttemptEvent.Reconnected reconnected) {
            return reconnected.incarnation() == incarnation ? query(key) : onLost(Optional.empty(), nowMillis);
        }
        if (event instanceof AttemptEvent.ReceiveTimeout) {
            return query(key);
        }
        if (event instanceof AttemptEvent.QueryAnswered answered) {
            return onState(answered.state(), answered.incarnation(), false, key, nowMillis);
        }
        if (event instanceof AttemptEvent.AttachFailed failed) {
            return onState(failed.state(), failed.incarnation(), true, key, nowMillis);
        }
        if (event instanceof AttemptEvent.AgentDead) {
            return onLost(Optional.empty(), nowMillis);
        }
        return AWAIT;
    }

    private AttemptDecision onChunk(TextChunk chunk, AttemptKey key) {
        if (chunk.offset() == nextOffset) {
            nextOffset = chunk.endOffset();
            attachPending = false;
            return new AttemptDecision.Forward(chunk);
        }
        // A chunk that overlaps the end of the forwarded text cannot be split, so it is handled like a gap.
        return chunk.endOffset() <= nextOffset ? DROP_REPEATED : attachUnlessPending(key);
    }

    private AttemptDecision attachUnlessPending(AttemptKey key) {
        if (attachPending) {
            return DROP_GAP;
        }
        attachPending = true;
        return new AttemptDecision.Attach(key, nextOffset);
    }

    private AttemptDecision query(AttemptKey key) {
        attachPending = false;
        return new AttemptDecision.Query(key);
    }

    private AttemptDecision onFinished(AttemptResult result, AttemptKey key, long nowMillis) {
        if (result.reason().isComplete()) {
            if (result.endOffset() > nextOffset) {
                return attachUnlessPending(key);
            }
            return reply(Outcome.RAN, ReplyReason.COMPLETE, Optional.of(result), 0);
        }
        if (!request.repeatable()) {
            return reply(Outcome.UNKNOWN, ReplyReason.FAILED, Optional.of(result), 0);
        }
        mayHaveRun = true;
        if (!result.reason().isContinuable()) {
            return reply(Outcome.RAN, ReplyReason.DEADLINE, Optional.of(result), 0);
        }
        if (result.reason() == FinishReason.MOVED && isRetryInTime(nowMillis)) {
            movedAttemptCount++;
            return retry(Optional.empty());
        }
        return mayRetry(nowMillis)
                ? retry(Optional.empty())
                : reply(Outcome.RAN, ReplyReason.FAILED, Optional.of(result), 0);
    }

    private AttemptDecision onNotRun(NotRunReason reason, long retryAfterMillis, long nowMillis) {
        if (reason.isRetryable() && mayRetry(nowMillis)) {
            return retry(Optional.empty());
        }
        return reply(notRunOrUnknown(), cancelRequested ? ReplyReason.DEADLINE : ReplyReason.REFUSED, retryAfterMillis);
    }

    private AttemptDecision onState(
            AttemptState state, long answeringIncarnation, boolean attachFailed, AttemptKey key, long nowMillis) {
        if (answeringIncarnation != incarnation) {
            return onLost(Optional.empty(), nowMillis);
        }
        if (state == AttemptState.NOT_RUN) {
            boolean trusted = nowMillis - sentAtMillis <= request.trustedAnswerMillis();
            return trusted ? onNotRun(NotRunReason.NEVER_SEEN, 0, nowMillis) : onLost(Optional.empty(), nowMillis);
        }
        if (state == AttemptState.UNKNOWN) {
            return onLost(Optional.empty(), nowMillis);
        }
        if (!attachFailed) {
            return attachUnlessPending(key);
        }
        if (!request.repeatable()) {
            return state == AttemptState.FINISHED ? reply(Outcome.RAN, ReplyReason.LOST, 0) : AWAIT;
        }
        return onLost(Optional.of(key), nowMillis);
    }

    /** Handles an attempt that may have run and whose answer cannot be retrieved. */
    private AttemptDecision onLost(Optional<AttemptKey> stillRunning, long nowMillis) {
        mayHaveRun = true;
        if (request.repeatable() && mayRetry(nowMillis)) {
            return retry(stillRunning);
        }
        return reply(Outcome.UNKNOWN, cancelRequested ? ReplyReason.DEADLINE : ReplyReason.LOST, 0);
    }

    private AttemptDecision onDeadline() {
        AttemptKey key = currentAttempt;
        if (key == null) {
            return reply(notRunOrUnknown(), ReplyReason.DEADLINE, 0);
        }
        cancelRequested = true;
        return new AttemptDecision.Cancel(key);
    }

    private AttemptDecision onCallerDisconnected() {
        AttemptKey key = currentAttempt;
        callerDisconnected = true;
        if (key == null) {
            return reply(notRunOrUnknown(), ReplyReason.CALLER_GONE, 0);
        }
        if (!request.repeatable()) {
            return AWAIT;
        }
        ended = true;
        return new AttemptDecision.Cancel(key);
    }

    private boolean isRetryInTime(long nowMillis) {
        return !cancelRequested && !callerDisconnected && nowMillis < request.deadlineMillis();
    }

    private boolean mayRetry(long nowMillis) {
        return isRetryInTime(nowMillis)
                && attemptCount - movedAttemptCount < request.maximumAttempts()
                && permission.tryAcquire();
    }

    private AttemptDecision retry(Optional<AttemptKey> cancelled) {
        if (upstream != null) {
            triedUpstreams.add(upstream);
        }
        currentAttempt = null;
        return new AttemptDecision.Retry(cancelled, Set.copyOf(triedUpstreams), nextOffset);
    }

    private Outcome notRunOrUnknown() {
        return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private AttemptDecision reply(Outcome outcome, ReplyReason reason, long retryAfterMillis) {
        return reply(outcome, reason, Optional.empty(), retryAfterMillis);
    }

    private AttemptDecision reply(
            Outcome outcome, ReplyReason reason, Optional<AttemptResult> result, long retryAfterMillis) {
        ended = true;
        currentAttempt = null;
        return new AttemptDecision.Reply(outcome, reason, result, retryAfterMillis);
    }
}
