package io.oleandermoor.daemon.agent;

import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.CallKind;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Header;
import io.oleandermoor.protocol.message.HttpCall;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.ledger.AttachDecision;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.AttemptState;
import io.oleandermoor.state.ledger.Body;
import io.oleandermoor.state.ledger.CancelDecision;
import io.oleandermoor.state.ledger.DispatchDecision;
import io.oleandermoor.state.ledger.FinishReason;
import io.oleandermoor.state.ledger.HeaderField;
import io.oleandermoor.state.ledger.NotRunReason;
import io.oleandermoor.state.ledger.RequestLedger;
import io.oleandermoor.state.ledger.TextChunk;
import io.oleandermoor.transport.client.UpstreamCall;
import io.oleandermoor.transport.client.UpstreamClient;
import io.oleandermoor.transport.client.UpstreamFailure;
import io.oleandermoor.transport.client.UpstreamListener;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.worker.WorkerPool;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Runs attempts at the upstream as the {@link RequestLedger} allows. Events of one attempt run on one worker in order.
 * Safe for use by several threads.
 */
final class RequestExecutor {

    /** Status with which an engine answers a completion for a model that it does not hold. */
    private static final int STATUS_NOT_LOADED = 404;

    private final RequestLedger ledger;

    private final WaitingQueue queue;

    private final UpstreamClient upstream;

    private final CrashWatch crashes;

    private final Function<String, Optional<PeerConnection>> entries;

    private final Supplier<Load> load;

    private final BooleanSupplier acceptsWork;

    private final WorkerPool workers;

    private final ProcessMetrics metrics;

    private final LongSupplier nowMillis;

    private final Map<AttemptKey, RunningAttempt> attempts = new ConcurrentHashMap<>();

    RequestExecutor(Parts parts, WorkerPool workers, ProcessMetrics metrics, LongSupplier nowMillis) {
        this.ledger = parts.ledger;
        this.queue = parts.queue;
        this.upstream = parts.upstream;
        this.crashes = parts.crashes;
        this.entries = parts.entries;
        this.load = parts.load;
        this.acceptsWork = parts.acceptsWork;
        this.workers = workers;
        this.metrics = metrics;
        this.nowMillis = nowMillis;
    }

    int size() {
        return attempts.size();
    }

    /** Handles a message of an entry about an attempt. */
    void received(PeerConnection connection, Envelope envelope) {
        switch (envelope.getPayloadCase()) {
            case DISPATCH -> {
                AttemptKey key =
                        AttemptMessages.fromMessage(envelope.getDispatch().getKey());
                run(key, () -> dispatch(key, envelope.getDispatch(), connection));
            }
            case CANCEL -> {
                AttemptKey key =
                        AttemptMessages.fromMessage(envelope.getCancel().getKey());
                run(key, () -> cancel(key, connection));
            }
            case QUERY -> {
                AttemptKey key = AttemptMessages.fromMessage(envelope.getQuery().getKey());
                run(
                        key,
                        () -> connection.send(
                                AttemptMessages.queryResult(key, ledger.query(key, nowMillis.getAsLong()))));
            }
            case ATTACH -> {
                AttemptKey key =
                        AttemptMessages.fromMessage(envelope.getAttach().getKey());
                run(key, () -> attach(key, envelope.getAttach().getOffset(), connection));
            }
            default -> {
                // No other message concerns an attempt.
            }
        }
    }

    void connectionLost(String entry) {
        ledger.connectionLost(new InstanceId(entry), nowMillis.getAsLong());
    }

    /** Stops repeatable work whose entry did not come back, and forgets what has been remembered long enough. */
    void expire() {
        for (AttemptKey key : ledger.expire(nowMillis.getAsLong())) {
            Optional.ofNullable(attempts.get(key)).ifPresent(attempt -> run(key, attempt::cancelCall));
        }
        for (RunningAttempt attempt : queue.expire()) {
            run(attempt.key(), () -> refuse(attempt, NotRunReason.DEADLINE_PASSED, 0));
        }
        for (RunningAttempt attempt : attempts.values()) {
            run(attempt.key(), () -> forgetIfRefused(attempt));
        }
    }

    /** Lets streams that run here go on at other upstreams; waiting attempts are refused as not run. */
    void moveAll() {
        for (RunningAttempt attempt : attempts.values()) {
            run(attempt.key(), () -> move(attempt, NotRunReason.LEAVING));
        }
    }

    private void dispatch(AttemptKey key, Dispatch dispatch, PeerConnection connection) {
        InstanceId entry = new InstanceId(connection.remote().instance());
        if (!acceptsWork.getAsBoolean()) {
            // The tombstone makes the refusal true for a repeated dispatch, too.
            ledger.cancel(key, nowMillis.getAsLong());
            connection.send(AttemptMessages.notRun(key, NotRunReason.LEAVING, 0, load.get()));
            return;
        }
        DispatchDecision decision = ledger.dispatch(
                key, dispatch.getRepeatable(), entry, dispatch.getResumeOffset(), nowMillis.getAsLong());
        if (decision instanceof DispatchDecision.Refuse refuse) {
            connection.send(AttemptMessages.notRun(key, refuse.reason(), 0, load.get()));
        } else if (decision instanceof DispatchDecision.Admit) {
            RunningAttempt attempt = new RunningAttempt(key, dispatch, entry, nowMillis.getAsLong());
            attempts.put(key, attempt);
            Optional<Long> refusedFor = queue.offer(attempt);
            if (refusedFor.isPresent()) {
                refuse(attempt, NotRunReason.BUSY, refusedFor.get());
            } else {
                startWaiting();
            }
        }
    }

    /** Starts attempts as far as slots are free; to be called regularly for attempts that wait for their turn. */
    void startWaiting() {
        for (Optional<RunningAttempt> next = queue.poll(); next.isPresent(); next = queue.poll()) {
            RunningAttempt attempt = next.get();
            run(attempt.key(), () -> start(attempt));
        }
    }

    private void start(RunningAttempt attempt) {
        Dispatch dispatch = attempt.dispatch();
        long waitedMillis = (System.nanoTime() - attempt.arrivedNanos()) / 1_000_000;
        if (waitedMillis >= dispatch.getRemainingMillis()
                && ledger.refuse(attempt.key(), NotRunReason.DEADLINE_PASSED, nowMillis.getAsLong())) {
            refused(attempt, NotRunReason.DEADLINE_PASSED, 0);
            releaseSlot(attempt, 0);
            return;
        }
        if (!ledger.tryStart(attempt.key())) {
            attempts.remove(attempt.key());
            releaseSlot(attempt, 0);
            return;
        }
        metrics.queued(
                dispatch.getTeam(),
                dispatch.getRequestClass().name().toLowerCase(Locale.ROOT),
                System.nanoTime() - attempt.arrivedNanos());
        try {
            attempt.started(call(attempt), nowMillis.getAsLong());
        } catch (IOException | IllegalArgumentException exception) {
            finish(attempt, new AttemptResult(FinishReason.UPSTREAM_FAILED, 0, List.of(), Body.empty(), 0), 0);
        }
    }

    private UpstreamCall call(RunningAttempt attempt) throws IOException {
        Dispatch dispatch = attempt.dispatch();
        HttpCall call = dispatch.getCall();
        UpstreamListener listener = new AttemptListener(attempt);
        if (dispatch.getKind() == CallKind.COMPLETION) {
            return upstream.complete(EngineBody.of(dispatch), listener);
        }
        Map<String, String> headers = new HashMap<>();
        for (Header header : call.getHeadersList()) {
            headers.put(header.getName(), header.getValue());
        }
        return upstream.call(
                call.getMethod(), call.getPath(), headers, call.getBody().toByteArray(), listener);
    }

    private void cancel(AttemptKey key, PeerConnection connection) {
        CancelDecision decision = ledger.cancel(key, nowMillis.getAsLong());
        RunningAttempt attempt = attempts.get(key);
        if (decision == CancelDecision.STOP && attempt != null) {
            attempt.cancelCall();
        } else if (decision == CancelDecision.NOT_RUN) {
            connection.send(AttemptMessages.notRun(key, NotRunReason.CANCELLED_BEFORE_START, 0, load.get()));
            if (attempt != null) {
                forgetIfRefused(attempt);
            }
        }
    }

    private void attach(AttemptKey key, int offset, PeerConnection connection) {
        InstanceId entry = new InstanceId(connection.remote().instance());
        AttachDecision decision = ledger.attach(key, offset, entry, nowMillis.getAsLong());
        if (decision instanceof AttachDecision.Unavailable unavailable) {
            connection.send(AttemptMessages.attachFailed(key, unavailable.state()));
            return;
        }
        AttachDecision.Replay replay = (AttachDecision.Replay) decision;
        Optional.ofNullable(attempts.get(key)).ifPresent(attempt -> attempt.attachTo(entry));
        replay.chunks().forEach(chunk -> connection.send(AttemptMessages.chunk(key, chunk)));
        replay.result().ifPresent(result -> connection.send(AttemptMessages.finished(key, result, 0, load.get())));
    }

    /**
     * Lets work go on at other upstreams that has heard nothing from this one. Called while the upstream does not
     * answer.
     *
     * @param silentMillis time without a token after which an attempt is moved
     */
    void moveSilent(long silentMillis) {
        for (RunningAttempt attempt : attempts.values()) {
            run(attempt.key(), () -> {
                if (nowMillis.getAsLong() - attempt.lastHeardMillis() >= silentMillis) {
                    move(attempt, NotRunReason.UPSTREAM_UNREACHABLE);
                }
            });
        }
    }

    private void move(RunningAttempt attempt, NotRunReason reason) {
        if (ledger.refuse(attempt.key(), reason, nowMillis.getAsLong())) {
            queue.remove(attempt);
            refused(attempt, reason, 0);
        } else if (attempt.dispatch().getRepeatable()) {
            attempt.move();
            attempt.cancelCall();
        }
    }

    private void refuse(RunningAttempt attempt, NotRunReason reason, long retryAfterMillis) {
        if (ledger.refuse(attempt.key(), reason, nowMillis.getAsLong())) {
            refused(attempt, reason, retryAfterMillis);
        }
    }

    private void refused(RunningAttempt attempt, NotRunReason reason, long retryAfterMillis) {
        attempts.remove(attempt.key());
        metrics.refused(attempt.dispatch().getTeam(), reason.name().toLowerCase(Locale.ROOT));
        send(attempt, AttemptMessages.notRun(attempt.key(), reason, retryAfterMillis, load.get()));
    }

    /** Takes an attempt that the ledger gave up out of the queue. */
    private void forgetIfRefused(RunningAttempt attempt) {
        if (attempts.containsKey(attempt.key())
                && ledger.query(attempt.key(), nowMillis.getAsLong()) == AttemptState.NOT_RUN) {
            attempts.remove(attempt.key());
            queue.remove(attempt);
        }
    }

    private void finish(RunningAttempt attempt, AttemptResult result, long promptTokens) {
        attempts.remove(attempt.key());
        releaseSlot(attempt, promptTokens + attempt.nextOffset());
        if (ledger.finish(attempt.key(), result, nowMillis.getAsLong())) {
            send(attempt, AttemptMessages.finished(attempt.key(), result, promptTokens, load.get()));
        }
    }

    /** Tells the entry that the upstream did not start the attempt, so that it can run elsewhere. */
    private void notStarted(RunningAttempt attempt, NotRunReason reason) {
        releaseSlot(attempt, 0);
        refused(attempt, reason, 0);
    }

    private void failed(RunningAttempt attempt, UpstreamFailure failure) {
        boolean cancelled = failure == UpstreamFailure.CANCELLED;
        if (cancelled && attempt.isMoving()) {
            finish(attempt, result(attempt, FinishReason.MOVED), 0);
        } else if (cancelled) {
            finish(attempt, result(attempt, FinishReason.CANCELLED), 0);
        } else if (failure.isCertainlyNotRun()
                && ledger.markNotStarted(attempt.key(), NotRunReason.UPSTREAM_UNREACHABLE, nowMillis.getAsLong())) {
            notStarted(attempt, NotRunReason.UPSTREAM_UNREACHABLE);
        } else if (attempt.dispatch().getRepeatable()) {
            crashes.failed(failure);
            finish(attempt, result(attempt, FinishReason.UPSTREAM_FAILED), 0);
        } else {
            crashes.failed(failure);
            attempts.remove(attempt.key());
            releaseSlot(attempt, 0);
            ledger.markOutcomeUnknown(attempt.key(), nowMillis.getAsLong());
            send(attempt, AttemptMessages.queryResult(attempt.key(), AttemptState.UNKNOWN));
        }
    }

    private static AttemptResult result(RunningAttempt attempt, FinishReason reason) {
        return new AttemptResult(reason, 0, List.of(), Body.empty(), attempt.nextOffset());
    }

    private void releaseSlot(RunningAttempt attempt, long usedTokens) {
        queue.release(attempt, usedTokens);
        startWaiting();
    }

    private void send(RunningAttempt attempt, Envelope message) {
        entries.apply(attempt.entry().value()).ifPresent(connection -> connection.send(message));
    }

    private void run(AttemptKey key, Runnable task) {
        workers.executor(key.request().low()).execute(task);
    }

    /** Takes the upstream's answer to the worker of the attempt. */
    private final class AttemptListener implements UpstreamListener {

        private final RunningAttempt attempt;

        AttemptListener(RunningAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void tokens(String text, long generatedTokens) {
            run(attempt.key(), () -> {
                attempt.heard(nowMillis.getAsLong());
                int offset = attempt.nextOffset();
                TextChunk chunk = new TextChunk(offset, attempt.tokensGenerated(generatedTokens), text);
                if (ledger.append(attempt.key(), chunk)) {
                    send(attempt, AttemptMessages.chunk(attempt.key(), chunk));
                }
            });
        }

        @Override
        public void completed(Result result) {
            run(attempt.key(), () -> {
                boolean completion = attempt.dispatch().getKind() == CallKind.COMPLETION;
                // An engine that has just unloaded the model did not start the completion.
                if (completion
                        && result.status() == STATUS_NOT_LOADED
                        && ledger.markNotStarted(attempt.key(), NotRunReason.MODEL_NOT_READY, nowMillis.getAsLong())) {
                    notStarted(attempt, NotRunReason.MODEL_NOT_READY);
                    return;
                }
                boolean failed = completion && result.status() >= 500;
                FinishReason reason = failed
                        ? FinishReason.UPSTREAM_FAILED
                        : result.finishReason().equals("length") ? FinishReason.LENGTH : FinishReason.COMPLETE;
                List<HeaderField> headers = new ArrayList<>();
                result.headers().forEach((name, value) -> headers.add(new HeaderField(name, value)));
                int endOffset = completion ? attempt.nextOffset() : 0;
                finish(
                        attempt,
                        new AttemptResult(reason, result.status(), headers, Body.of(result.body()), endOffset),
                        result.usage().promptTokens());
            });
        }

        @Override
        public void failed(UpstreamFailure failure) {
            run(attempt.key(), () -> RequestExecutor.this.failed(attempt, failure));
        }
    }

    /**
     * What an executor works with.
     *
     * @param ledger remembers attempts
     * @param queue orders waiting attempts
     * @param upstream calls the upstream
     * @param crashes finds out why calls failed
     * @param entries finds the connection to an entry by its instance
     * @param load supplies the load for messages
     * @param acceptsWork whether new work is taken
     */
    record Parts(
            RequestLedger ledger,
            WaitingQueue queue,
            UpstreamClient upstream,
            CrashWatch crashes,
            Function<String, Optional<PeerConnection>> entries,
            Supplier<Load> load,
            BooleanSupplier acceptsWork) {}
}
