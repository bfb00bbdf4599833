package io.oleandermoor.daemon.entry;

import com.google.protobuf.ByteString;
import io.oleandermoor.daemon.entry.TokenService.TokenDecision;
import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.AttemptEvent;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptTracker;
import io.oleandermoor.state.ledger.OnceCall;
import io.oleandermoor.state.ledger.OnceDecision;
import io.oleandermoor.state.ledger.Outcome;
import io.oleandermoor.state.ledger.TextChunk;
import io.oleandermoor.state.ledger.TrackedRequest;
import io.oleandermoor.state.routing.RouteChoice;
import io.oleandermoor.transport.peer.PeerConnection;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller from its arrival to its answer. Carries out what the {@link AttemptTracker} decides. All
 * methods run on the worker of the request.
 */
final class ActiveRequest {

    /** Attempts for one request, those that a stopping agent moved elsewhere not counted. */
    static final int MAXIMUM_ATTEMPTS = 4;

    /** Age of an attempt up to which "never seen" is trusted; half of the retention of the agents' ledgers. */
    static final long TRUSTED_ANSWER_MILLIS = 15_000;

    /** Time without a message after which the agent is asked about an attempt. */
    static final long SILENCE_MILLIS = 5_000;

    /** Time to wait for the result of a cancellation. */
    private static final long CANCEL_GRACE_MILLIS = 2_000;

    private static final String BLOCKED_CODE = "content_crashes_upstreams";

    private static final String BLOCKED_MESSAGE = "requests with this content have crashed upstreams";

    /**
     * Longest wait for the connection to the agent of a ready upstream. An entry that was paused has lost all
     * connections and opens them again within this time; until then it knows of no reason to refuse.
     */
    private static final long CONNECTION_WAIT_MILLIS = 2_000;

    private static final long CONNECTION_POLL_MILLIS = 50;

    private final CallerRequest request;

    private final Responder responder;

    private final EntryServices services;

    private final Executor worker;

    private final Consumer<ActiveRequest> onEnd;

    private final AttemptTracker tracker;

    private final StringBuilder text = new StringBuilder();

    private final RequestMeter meter;

    private Consumer<Long> settle = used -> {};

    private Optional<OnceCall> onceCall = Optional.empty();

    private Optional<RouteChoice> choice = Optional.empty();

    private @Nullable PeerConnection agent;

    private @Nullable AttemptKey key;

    private long attemptSentMillis;

    private long lastHeardMillis;

    private OptionalLong connectionWaitEndsMillis = OptionalLong.empty();

    private long promptTokens;

    private Runnable deadlineTimer = () -> {};

    private Runnable silenceTimer = () -> {};

    private boolean successReported;

    private boolean ended;

    ActiveRequest(
            CallerRequest request,
            Responder responder,
            EntryServices services,
            Executor worker,
            Consumer<ActiveRequest> onEnd) {
        this.request = request;
        this.responder = responder;
        this.services = services;
        this.worker = worker;
        this.onEnd = onEnd;
        this.meter = new RequestMeter(request, services.metrics());
        this.tracker = new AttemptTracker(
                new TrackedRequest(
                        request.id(),
                        request.repeatable(),
                        MAXIMUM_ATTEMPTS,
                        request.deadlineMillis(),
                        TRUSTED_ANSWER_MILLIS),
                services.retries());
    }

    CallerRequest request() {
        return request;
    }

    /** Returns whether the current attempt is at an instance. */
    boolean isAt(String instance) {
        PeerConnection current = agent;
        return current != null && current.remote().instance().equals(instance);
    }

    Optional<AttemptKey> currentAttempt() {
        return Optional.ofNullable(key);
    }

    void start() {
        if (isBlocked()) {
            refuse(CallerError.notRun(422, BLOCKED_CODE, BLOCKED_MESSAGE));
            return;
        }
        deadlineTimer = services.timers()
                .schedule(
                        request.deadlineMillis() - services.nowMillis().getAsLong(),
                        () -> worker.execute(() -> on(new AttemptEvent.DeadlinePassed())));
        if (request.tokens() > 0) {
            services.demand().add(request.dispatch().getModel(), request.tokens());
        }
        if (request.team().isEmpty() || request.tokens() == 0) {
            beginOnce();
            return;
        }
        services.tokens()
                .reserve(
                        request.team().get(),
                        request.tokens(),
                        decision -> worker.execute(() -> tokensDecided(decision)));
    }

    /** Handles something that happened to the request. */
    void on(AttemptEvent event) {
        if (ended) {
            return;
        }
        lastHeardMillis = services.nowMillis().getAsLong();
        carryOut(tracker.on(event, lastHeardMillis));
    }

    /** Notes the number of prompt tokens that an engine counted. */
    void promptCounted(long tokens) {
        promptTokens = Math.max(promptTokens, tokens);
    }

    /** Ends the request because its key was revoked. */
    void keyRevoked() {
        if (ended) {
            return;
        }
        CallerError error = text.isEmpty() && key == null
                ? CallerError.notRun(401, "key_revoked", "the key was revoked")
                : CallerError.unknown(401, "key_revoked", "the key was revoked while the request ran");
        cancelAttempt();
        refuse(error);
    }

    private void tokensDecided(TokenDecision decision) {
        if (decision instanceof TokenDecision.Granted granted) {
            settle = granted.settle();
            if (ended) {
                settle.accept(0L);
                return;
            }
            beginOnce();
        } else if (decision instanceof TokenDecision.OverRate over) {
            refuse(CallerError.notRun(429, "over_rate", "the team is over its rate")
                    .retryAfter(over.retryAfterMillis()));
        } else if (decision instanceof TokenDecision.TooLarge tooLarge) {
            refuse(CallerError.notRun(
                    413,
                    "too_many_tokens",
                    "prompt and max_tokens need " + request.tokens() + " tokens, more than the team can use at once ("
                            + tooLarge.largest() + ")"));
        }
    }

    private void beginOnce() {
        if (ended) {
            return;
        }
        if (request.onceKey().isEmpty()) {
            dispatch(Set.of());
            return;
        }
        Optional<RouteChoice> first = choose(Set.of());
        if (first.isEmpty()) {
            on(new AttemptEvent.NoUpstream(0));
            return;
        }
        OnceCall call = new OnceCall(
                fingerprint(),
                request.id().toString(),
                services.instance(),
                first.get().upstream());
        services.once()
                .begin(request.onceKey().get(), call, decision -> worker.execute(() -> onceDecided(call, decision)));
    }

    private void onceDecided(OnceCall call, OnceDecision decision) {
        if (decision instanceof OnceDecision.Run) {
            onceCall = Optional.of(call);
            if (ended) {
                return;
            }
            dispatch(Set.of());
        } else if (decision instanceof OnceDecision.Replay replay) {
            finish("replayed", () -> responder.replay(replay.answer()));
        } else {
            refuse(ReplyErrors.of(decision));
        }
    }

    /** Sends the next attempt, to an upstream whose agent is connected. */
    private void dispatch(Set<UpstreamId> excluded) {
        Set<UpstreamId> unreachable = new HashSet<>(excluded);
        Optional<RouteChoice> next = choose(unreachable);
        while (next.isPresent()) {
            Optional<PeerConnection> connection =
                    services.agents().connection(next.get().upstream());
            if (connection.isPresent()) {
                send(next.get(), connection.get());
                return;
            }
            unreachable.add(next.get().upstream());
            next = choose(unreachable);
        }
        if (unreachable.size() == excluded.size() || !waitsForConnection(excluded)) {
            on(new AttemptEvent.NoUpstream(0));
        }
    }

    /** Tries the dispatch again soon, unless the longest wait for a connection has passed. */
    private boolean waitsForConnection(Set<UpstreamId> excluded) {
        long now = services.nowMillis().getAsLong();
        if (connectionWaitEndsMillis.isEmpty()) {
            connectionWaitEndsMillis = OptionalLong.of(now + CONNECTION_WAIT_MILLIS);
        }
        if (now >= connectionWaitEndsMillis.getAsLong()) {
            return false;
        }
        var unused = services.timers()
                .schedule(
                        CONNECTION_POLL_MILLIS,
                        () -> worker.execute(() -> {
                            if (!ended) {
                                dispatch(excluded);
                            }
                        }));
        return true;
    }

    private Optional<RouteChoice> choose(Set<UpstreamId> excluded) {
        return services.router()
                .choose(
                        request.query().withExcluded(excluded),
                        services.nowMillis().getAsLong(),
                        services.random());
    }

    private void send(RouteChoice chosen, PeerConnection connection) {
        long now = services.nowMillis().getAsLong();
        AttemptKey attempt =
                tracker.begin(chosen.upstream(), connection.remote().incarnation(), now);
        key = attempt;
        agent = connection;
        connectionWaitEndsMillis = OptionalLong.empty();
        choice = Optional.of(chosen);
        successReported = false;
        attemptSentMillis = now;
        lastHeardMillis = now;
        services.router().recordSend(chosen, request.query().prefix(), now);
        if (services.crashes().isSuspect(fingerprint(), System.currentTimeMillis())) {
            services.crashReports().accept(connection);
        }
        Dispatch dispatch = request.dispatch().toBuilder()
                .setKey(AttemptMessages.toMessage(attempt))
                .setRemainingMillis((int) Math.max(1, request.deadlineMillis() - now))
                .setResumeOffset(tracker.nextOffset())
                .setResumeTextBytes(ByteString.copyFromUtf8(tracker.nextOffset() > 0 ? text.toString() : ""))
                .build();
        boolean sent =
                connection.send(Envelope.newBuilder().setDispatch(dispatch).build());
        if (sent) {
            watchSilence();
        } else {
            on(new AttemptEvent.NotSent(attempt));
        }
    }

    private void carryOut(AttemptDecision decision) {
        if (decision instanceof AttemptDecision.Forward forward) {
            forward(forward.chunk());
        } else if (decision instanceof AttemptDecision.Query query) {
            sendToAgent(AttemptMessages.query(query.key()));
        } else if (decision instanceof AttemptDecision.Attach attach) {
            sendToAgent(AttemptMessages.attach(attach.key(), attach.offset()));
        } else if (decision instanceof AttemptDecision.Cancel cancel) {
            sendToAgent(AttemptMessages.cancel(cancel.key()));
            if (tracker.isEnded()) {
                finish("caller_gone", () -> {});
            } else {
                var unused = services.timers()
                        .schedule(CANCEL_GRACE_MILLIS, () -> worker.execute(() -> on(new AttemptEvent.GracePassed())));
            }
        } else if (decision instanceof AttemptDecision.Retry retry) {
            retry.cancelled().ifPresent(attempt -> sendToAgent(AttemptMessages.cancel(attempt)));
            attemptFailed();
            retry(retry.excluded());
        } else if (decision instanceof AttemptDecision.Reply reply) {
            reply(reply);
        }
    }

    /** Sends the request elsewhere, unless its content was blocked meanwhile: it would crash the next upstream. */
    private void retry(Set<UpstreamId> excluded) {
        if (request.repeatable() && isBlocked()) {
            refuse(CallerError.unknown(422, BLOCKED_CODE, BLOCKED_MESSAGE));
            return;
        }
        services.metrics().event("retry");
        dispatch(excluded);
    }

    private String fingerprint() {
        return AttemptMessages.fingerprint(request.dispatch());
    }

    private boolean isBlocked() {
        return services.crashes().isBlocked(fingerprint(), System.currentTimeMillis());
    }

    private void forward(TextChunk chunk) {
        meter.textForwarded();
        succeeded();
        text.append(chunk.text());
        responder.text(chunk.text());
    }

    private void reply(AttemptDecision.Reply reply) {
        if (reply.outcome() == Outcome.RAN && reply.reason() == AttemptDecision.ReplyReason.COMPLETE) {
            succeeded();
        } else if (reply.outcome() != Outcome.NOT_RUN) {
            attemptFailed();
        }
        Runnable answer = () -> answer(reply);
        if (onceCall.isPresent()) {
            OnceCall call = onceCall.get();
            services.once().end(request.onceKey().orElseThrow(), call, reply, () -> worker.execute(answer));
        } else {
            answer.run();
        }
    }

    private void answer(AttemptDecision.Reply reply) {
        String outcome = reply.outcome().name().toLowerCase(Locale.ROOT);
        if (reply.outcome() == Outcome.RAN && reply.reason() == AttemptDecision.ReplyReason.COMPLETE) {
            long prompt = promptTokens;
            finish(outcome, () -> responder.finished(reply.result().orElseThrow(), prompt, tracker.nextOffset()));
            return;
        }
        CallerError error = ReplyErrors.of(reply, request.repeatable());
        finish(outcome, () -> responder.failed(error));
        if (reply.outcome() == Outcome.NOT_RUN) {
            meter.refused(error);
        }
    }

    private void refuse(CallerError error) {
        meter.refused(error);
        finish(error.outcome(), () -> responder.failed(error));
    }

    private void finish(String outcome, Runnable answer) {
        if (ended) {
            return;
        }
        ended = true;
        deadlineTimer.run();
        silenceTimer.run();
        long generated = tracker.nextOffset();
        boolean ran = generated > 0 || outcome.equals("ran") || outcome.equals("unknown");
        // An engine that did not report its count is charged with the bound.
        long prompt = promptTokens > 0 ? promptTokens : request.dispatch().getPromptTokens();
        long used = ran ? Math.min(request.tokens(), prompt + generated) : 0;
        settle.accept(used);
        answer.run();
        meter.ended(outcome, choice, prompt, generated, used);
        onEnd.accept(this);
    }

    private void succeeded() {
        if (!successReported && choice.isPresent()) {
            successReported = true;
            services.retries().succeeded();
            long now = services.nowMillis().getAsLong();
            services.router().recordSuccess(choice.get(), (double) now - attemptSentMillis, now);
        }
    }

    private void attemptFailed() {
        choice.ifPresent(value ->
                services.router().recordFailure(value, services.nowMillis().getAsLong()));
    }

    private void cancelAttempt() {
        AttemptKey current = key;
        if (current != null) {
            sendToAgent(AttemptMessages.cancel(current));
        }
    }

    /** Sends on the newest connection to the agent's instance; without one the next reconnection decides. */
    private void sendToAgent(Envelope message) {
        PeerConnection current = agent;
        if (current == null) {
            return;
        }
        if (!current.send(message) && choice.isPresent()) {
            services.agents().connection(choice.get().upstream()).ifPresent(renewed -> {
                agent = renewed;
                renewed.send(message);
            });
        }
    }

    /** Uses a new connection to the agent from now on. */
    void reconnected(PeerConnection connection) {
        agent = connection;
        AttemptKey current = key;
        if (current != null) {
            on(new AttemptEvent.Reconnected(current, connection.remote().incarnation()));
        }
    }

    private void watchSilence() {
        silenceTimer.run();
        silenceTimer = services.timers().schedule(SILENCE_MILLIS, () -> worker.execute(this::checkSilence));
    }

    private void checkSilence() {
        AttemptKey current = key;
        if (ended || current == null) {
            return;
        }
        if (services.nowMillis().getAsLong() - lastHeardMillis >= SILENCE_MILLIS) {
            on(new AttemptEvent.Silence(current));
        }
        watchSilence();
    }
}
