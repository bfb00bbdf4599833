package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.Prompt;
import io.oleandermoor.state.dispatch.WaitPolicy;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One request of a caller, from its arrival to its one answer. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
final class Exchange {

    /** Sends in all, with those that an instance declined and that do not count as runs. */
    private static final int LARGEST_SENDS = 5;
    /** Bits of the number that spreads returning callers. */
    private static final int DRAW_MASK = 0xFFFF;
    /** Time that the answer to the caller takes. */
    private static final long ANSWER_MARGIN_MILLIS = 30;

    /** Time that must be left for another send. */
    private static final long LEAST_REPEAT_MILLIS = 60;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestDesk desk;
    private final AnswerSink sink;
    private final FullHttpRequest request;
    private final Admitted admitted;
    private final long number;
    private final long arrivedMillis = Moment.steadyNow();
    private final long endMillis;
    private final Set<String> tried = new HashSet<>();
    private final ExchangeLines lines;
    private final Prompt prompt;
    private final StreamTimes times = new StreamTimes(arrivedMillis);
    private @Nullable ScheduledFuture<?> endTimer;
    private @Nullable ScheduledFuture<?> waitTimer;
    private UpstreamPool.@Nullable InFlightRequest sending;
    private @Nullable SendAttempt send;
    private @Nullable EventStream stream;
    private boolean waiting;
    private boolean done;
    private boolean mayHaveRun;
    private int sends;
    private int runs;
    private long retryMillis = RETRY_AFTER_MILLIS;
    private Shortage shortage = Shortage.FULL;

    Exchange(RequestDesk desk, AnswerSink sink, FullHttpRequest request, Admitted admitted) {
        this.desk = desk;
        this.sink = sink;
        this.request = request;
        this.admitted = admitted;
        this.number = desk.nextNumber();
        this.lines = new ExchangeLines(desk);
        long allowed = Math.min(
                admitted.route().timeoutMillis(),
                admitted.caller().deadlineMillis().orElse(Long.MAX_VALUE / 2));
        this.endMillis = arrivedMillis + allowed;
        this.prompt = admitted.target().isPresent() ? Prompt.of(admitted.caller()) : Prompt.NONE;
    }

    int urgency() {
        return admitted.urgency();
    }

    long number() {
        return number;
    }

    boolean isDone() {
        return done;
    }

    String service() {
        return admitted.service();
    }

    Optional<ModelTarget> target() {
        return admitted.target();
    }

    /** Returns the places that can take the request: those of a model, with all of its adapters, or of a service. */
    String places() {
        return admitted.service() + " " + target().map(ModelTarget::model).orElse("");
    }

    /** Returns whether the request waits for a place, and not for its model or adapter. */
    boolean waitsForPlace() {
        return waiting && shortage == Shortage.FULL;
    }

    /** Returns what the request waits for; requests with the same need are blocked together. */
    String need() {
        return admitted.service() + " " + target().map(ModelTarget::toString).orElse("") + " " + tried;
    }

    /**
     * Returns whether what the request waits for is needed now: a model that nobody holds may be loaded later if the
     * request still meets its target then, and more requests for it come meanwhile.
     */
    boolean presses() {
        return WaitPolicy.isUrgent(admitted.route(), shortage, age(), () -> desk.expectedPlaceMillis(this, shortage));
    }

    void start() {
        desk.allowance(admitted.service()).recordRequest(arrivedMillis);
        long delay = Math.max(1, endMillis - arrivedMillis - ANSWER_MARGIN_MILLIS);
        endTimer = desk.loop().schedule(this::timedOut, delay, TimeUnit.MILLISECONDS);
        dispatch();
    }

    private void dispatch() {
        InstanceSelection selection = select();
        Optional<Shortage> reason =
                WaitPolicy.reasonToWait(selection.shortage(), desk.line().ahead(this));
        if (reason.isPresent()) {
            desk.shortage(this, reason.get());
            waitForPlace(reason.get());
        } else {
            selection.instance().ifPresent(this::take);
        }
    }

    private InstanceSelection select() {
        InstanceTable.InstanceQuery query = new InstanceTable.InstanceQuery(admitted.service(), target(), prompt, tried);
        return desk.view().instances().choose(query, Moment.steadyNow());
    }

    private void take(UpstreamInstance instance) {
        desk.placed(places(), target());
        send(instance);
    }

    private void waitForPlace(Shortage reason) {
        shortage = reason;
        if (desk.view().isStopping()) {
            giveUp("stopping");
            return;
        }
        // The caller of a stream that has begun is as patient as before after its last event.
        long waited = sink.started() ? 0 : age();
        WaitPolicy.Decision decision = WaitPolicy.decide(
                admitted.route(), endMillis - arrivedMillis, waited, desk.expectedPlaceMillis(this, reason), draw());
        retryMillis = decision.retryMillis();
        if (decision.waitMillis() <= 0) {
            giveUp("no_place_" + reason);
            return;
        }
        waiting = true;
        desk.line().add(this);
        waitTimer = desk.loop().schedule(this::waitedTooLong, decision.waitMillis(), TimeUnit.MILLISECONDS);
    }

    private double draw() {
        return (admitted.caller().id().hashCode() & DRAW_MASK) / (DRAW_MASK + 1.0);
    }

    private void stopWaiting() {
        waiting = false;
        desk.line().remove(this);
        if (waitTimer != null) {
            waitTimer.cancel(false);
            waitTimer = null;
        }
    }

    /** Sends a waiting request if an instance can take it now; returns whether it was sent. */
    boolean offerPlace() {
        if (done) {
            return true;
        }
        InstanceSelection selection = select();
        if (selection.instance().isEmpty()) {
            shortage = selection.shortage().orElse(Shortage.FULL);
            desk.shortage(this, shortage);
            return false;
        }
        stopWaiting();
        take(selection.instance().get());
        return true;
    }

    /** Refuses the request if it still waits, as this process is about to end. */
    void stopping() {
        if (waiting && !done) {
            stopWaiting();
            giveUp("stopping");
        }
    }

    private void waitedTooLong() {
        if (!waiting || done) {
            return;
        }
        stopWaiting();
        giveUp("waited_" + shortage);
    }

    private void send(UpstreamInstance instance) {
        long now = Moment.steadyNow();
        sends++;
        tried.add(instance.id());
        OptionalLong lastEvent = stream != null && stream.lastEventId() >= 0
                ? OptionalLong.of(stream.lastEventId())
                : admitted.caller().lastEventId();
        RequestHeaders.InstanceHeaders headers = new RequestHeaders.InstanceHeaders(
                instance.id(),
                admitted.team().map(TeamLimits::name),
                Math.max(1, endMillis - now),
                urgency(),
                lastEvent);
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.content().retainedDuplicate(),
                RequestHeaders.encode(
                        request.headers(), headers, request.content().readableBytes()),
                EmptyHttpHeaders.INSTANCE);
        SendAttempt next = new SendAttempt(this, instance);
        send = next;
        next.begin();
        sending = desk.pool().send(instance, copy, admitted.caller().id(), next);
        if (send != next) {
            sending = null;
        }
    }

    private void timedOut() {
        if (done) {
            return;
        }
        abandonSend();
        if (!mayHaveRun) {
            giveUp("timeout");
            return;
        }
        lines.timeout(this);
        if (sink.started()) {
            finish();
            sink.abort();
        } else {
            answer(GATEWAY_TIMEOUT, EmptyHttpHeaders.INSTANCE);
        }
    }

    long age() {
        return Moment.steadyNow() - arrivedMillis;
    }

    /** The caller has left; what runs for it is cancelled. */
    void callerLeft() {
        if (!done) {
            stopWaiting();
            abandonSend();
            finish();
        }
    }

    void abandonSend() {
        SendAttempt current = send;
        send = null;
        if (current != null) {
            current.close();
        }
        if (sending != null) {
            mayHaveRun |= sending.cancel();
            sending = null;
        }
    }

    /** Ends the request with the truest refusal or failure. */
    private void giveUp(String reason) {
        lines.ended(this, mayHaveRun, reason);
        if (sink.started()) {
            finish();
            sink.abort();
        } else if (mayHaveRun) {
            answer(BAD_GATEWAY, EmptyHttpHeaders.INSTANCE);
        } else {
            refund();
            if (shortage == Shortage.NOT_RESIDENT) {
                target().ifPresent(desk::refused);
            }
            HttpHeaders headers = AnswerSink.headers();
            RequestHeaders.setRetryAfter(headers, retryMillis);
            answer(UNAVAILABLE, headers);
        }
    }

    private void refund() {
        admitted.team()
                .filter(TeamLimits::rateLimited)
                .ifPresent(team -> desk.view()
                        .bucket(team.name())
                        .ifPresent(bucket ->
                                bucket.refund(team.chargedTokens(admitted.caller().declaredTokens()))));
    }

    private void answer(int status, HttpHeaders headers) {
        finish();
        sink.own(status, headers, admitted.caller().id());
    }

    void finish() {
        done = true;
        stopWaiting();
        if (endTimer != null) {
            endTimer.cancel(false);
        }
        request.release();
        desk.closed();
        desk.offerSoon();
    }

    RequestDesk desk() {
        return desk;
    }

    Admitted admitted() {
        return admitted;
    }

    AnswerSink sink() {
        return sink;
    }

    Prompt prompt() {
        return prompt;
    }

    StreamTimes times() {
        return times;
    }

    int sends() {
        return sends;
    }

    Optional<EventStream> stream() {
        return Optional.ofNullable(stream);
    }

    void begin(EventStream first, int status, HttpHeaders headers) {
        stream = first;
        sink.begin(status, headers);
    }

    boolean isCurrent(SendAttempt attempt) {
        return send == attempt;
    }

    /** Records that the request has run or may have run. */
    void mayHaveRun() {
        runs++;
        mayHaveRun = true;
    }

    /** Ends the present send, whose connection is no longer needed. */
    void settleSend() {
        SendAttempt current = send;
        send = null;
        sending = null;
        if (current != null) {
            current.close();
        }
    }

    /** Returns whether the kind of the route, its limit of sends and the time that is left allow another send. */
    boolean mayRepeat(long leastMillis) {
        return (!mayHaveRun || admitted.route().repeatable())
                && runs < admitted.route().maximumAttempts()
                && sends < LARGEST_SENDS
                && endMillis - Moment.steadyNow() > leastMillis;
    }

    /**
     * Returns the instance at which the request may go on though the present one may still run it: one that can take it
     * now, within the limits of sends. What is slow stays where it is if nobody else can take it.
     */
    Optional<UpstreamInstance> reserveMove() {
        boolean allowed = admitted.route().repeatable()
                && runs <= 1
                && admitted.route().maximumAttempts() > 1
                && sends < LARGEST_SENDS
                && endMillis - Moment.steadyNow() > LEAST_REPEAT_MILLIS;
        if (!allowed) {
            return Optional.empty();
        }
        return select().instance()
                .filter(instance -> desk.allowance(admitted.service())
                        .tryAcquire(Moment.steadyNow(), desk.view().entryCount()));
    }

    /** Goes on at another instance, which was reserved. */
    void move(UpstreamInstance instance, String reason) {
        abandonSend();
        lines.repeat(this, reason, tried);
        take(instance);
    }

    /** The caller takes what it is sent, or has stopped taking it. */
    void callerReads(boolean reads) {
        if (sending != null) {
            sending.setAutoRead(reads);
        }
        if (send != null) {
            send.paused(!reads);
        }
    }

    /** Allows an instance that declined the request for now to be chosen again. */
    void mayTryAgain(String instance) {
        tried.remove(instance);
    }

    /** Chooses anew after nothing was sent. */
    void notSent() {
        sends--;
        if (endMillis - Moment.steadyNow() > LEAST_REPEAT_MILLIS) {
            dispatch();
        } else {
            giveUp("unreachable");
        }
    }

    /** Sends again in place of passing on a failure, or passes it on if the budget for repeats is used up. */
    void repeatInPlaceOf(RequestHeaders.ResponseHead failure, HttpHeaders headers, ByteBuf body) {
        settleSend();
        if (desk.allowance(admitted.service())
                .tryAcquire(Moment.steadyNow(), desk.view().entryCount())) {
            body.release();
            repeat("status_" + failure.status());
            return;
        }
        finish();
        sink.whole(failure.status(), headers, body);
    }

    private void repeat(String reason) {
        lines.repeat(this, reason, tried);
        dispatch();
    }

    /** Sends again after a failure if that is allowed, or gives up. */
    void again(String reason) {
        if (done) {
            return;
        }
        if (mayRepeat(LEAST_REPEAT_MILLIS)
                && desk.allowance(admitted.service())
                        .tryAcquire(Moment.steadyNow(), desk.view().entryCount())) {
            repeat(reason);
        } else {
            giveUp(reason);
        }
    }
}
