package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.Selection;
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
final class RequestExchange {

    /** Sends in all, with those that an instance declined and that do not count as runs. */
    private static final int MAXIMUM_SENDS = 5;
    /** Bits of the number that spreads returning callers. */
    private static final int JITTER_MASK = 0xFFFF;
    /** Time that the answer to the caller takes. */
    private static final long RESPONSE_MARGIN_MILLIS = 30;

    /** Time that must be left for another send. */
    private static final long MINIMUM_RETRY_REMAINING_MILLIS = 60;

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestDispatcher dispatcher;
    private final ResponseWriter response;
    private final FullHttpRequest request;
    private final AdmittedRequest admitted;
    private final long sequenceNumber;
    private final long arrivedMillis = Timestamp.monotonicNowMillis();
    private final long deadlineMillis;
    private final Set<String> triedInstances = new HashSet<>();
    private final RequestOutcomeLog outcomeLog;
    private final Prompt prompt;
    private final StreamLatency latency = new StreamLatency(arrivedMillis);
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable ScheduledFuture<?> queueTimer;
    private UpstreamPool.@Nullable Sending sending;
    private @Nullable SendAttempt currentAttempt;
    private @Nullable ResumableEventStream stream;
    private boolean queued;
    private boolean finished;
    private boolean mayHaveRun;
    private int sendCount;
    private int possibleRunCount;
    private long retryAfterMillis = DEFAULT_RETRY_AFTER_MILLIS;
    private Shortage shortage = Shortage.FULL;

    RequestExchange(RequestDispatcher desk, ResponseWriter sink, FullHttpRequest request, AdmittedRequest admitted) {
        this.dispatcher = desk;
        this.response = sink;
        this.request = request;
        this.admitted = admitted;
        this.sequenceNumber = desk.openRequest();
        this.outcomeLog = new RequestOutcomeLog(desk);
        long allowed = Math.min(
                admitted.route().timeoutMillis(),
                admitted.caller().deadlineMillis().orElse(Long.MAX_VALUE / 2));
        this.deadlineMillis = arrivedMillis + allowed;
        this.prompt = admitted.target().isPresent() ? Prompt.of(admitted.caller()) : Prompt.NONE;
    }

    int urgency() {
        return admitted.urgency();
    }

    long sequenceNumber() {
        return sequenceNumber;
    }

    boolean isFinished() {
        return finished;
    }

    String service() {
        return admitted.service();
    }

    Optional<ModelTarget> target() {
        return admitted.target();
    }

    /** Returns the places that can take the request: those of a model, with all of its adapters, or of a service. */
    String capacityKey() {
        return admitted.service() + " " + target().map(ModelTarget::model).orElse("");
    }

    /** Returns whether the request waits for a place, and not for its model or adapter. */
    boolean waitsForCapacity() {
        return queued && shortage == Shortage.FULL;
    }

    /** Returns what the request waits for; requests with the same need are blocked together. */
    String requirementKey() {
        return admitted.service() + " " + target().map(ModelTarget::toString).orElse("") + " " + triedInstances;
    }

    /**
     * Returns whether what the request waits for is needed now: a model that nobody holds may be loaded later if the
     * request still meets its target then, and more requests for it come meanwhile.
     */
    boolean isDemandImmediate() {
        return WaitPolicy.presses(
                admitted.route(), shortage, ageMillis(), () -> dispatcher.expectedWaitMillis(this, shortage));
    }

    void start() {
        dispatcher.retryAllowance(admitted.service()).requested(arrivedMillis);
        long delay = Math.max(1, deadlineMillis - arrivedMillis - RESPONSE_MARGIN_MILLIS);
        deadlineTimer = dispatcher.loop().schedule(this::onDeadline, delay, TimeUnit.MILLISECONDS);
        dispatch();
    }

    private void dispatch() {
        Selection selection = selectInstance();
        Optional<Shortage> reason =
                WaitPolicy.reasonToWait(selection.shortage(), dispatcher.queue().countAhead(this));
        if (reason.isPresent()) {
            dispatcher.recordShortage(this, reason.get());
            enqueue(reason.get());
        } else {
            selection.instance().ifPresent(this::assign);
        }
    }

    private Selection selectInstance() {
        InstanceTable.Query query = new InstanceTable.Query(admitted.service(), target(), prompt, triedInstances);
        return dispatcher.view().instances().choose(query, Timestamp.monotonicNowMillis());
    }

    private void assign(UpstreamInstance instance) {
        dispatcher.recordAssignment(capacityKey(), target());
        sendTo(instance);
    }

    private void enqueue(Shortage reason) {
        shortage = reason;
        if (dispatcher.view().isStopping()) {
            refuseOrFail("stopping");
            return;
        }
        // The caller of a stream that has begun is as patient as before after its last event.
        long waited = response.isStreamStarted() ? 0 : ageMillis();
        WaitPolicy.Decision decision = WaitPolicy.decide(
                admitted.route(),
                deadlineMillis - arrivedMillis,
                waited,
                dispatcher.expectedWaitMillis(this, reason),
                retryJitter());
        retryAfterMillis = decision.retryMillis();
        if (decision.waitMillis() <= 0) {
            refuseOrFail("no_place_" + reason);
            return;
        }
        queued = true;
        dispatcher.queue().add(this);
        queueTimer = dispatcher.loop().schedule(this::onQueueTimeout, decision.waitMillis(), TimeUnit.MILLISECONDS);
    }

    private double retryJitter() {
        return (admitted.caller().id().hashCode() & JITTER_MASK) / (JITTER_MASK + 1.0);
    }

    private void leaveQueue() {
        queued = false;
        dispatcher.queue().remove(this);
        if (queueTimer != null) {
            queueTimer.cancel(false);
            queueTimer = null;
        }
    }

    /** Sends a waiting request if an instance can take it now; returns whether it was sent. */
    boolean tryDispatch() {
        if (finished) {
            return true;
        }
        Selection selection = selectInstance();
        if (selection.instance().isEmpty()) {
            shortage = selection.shortage().orElse(Shortage.FULL);
            dispatcher.recordShortage(this, shortage);
            return false;
        }
        leaveQueue();
        assign(selection.instance().get());
        return true;
    }

    /** Refuses the request if it still waits, as this process is about to end. */
    void rejectOnShutdown() {
        if (queued && !finished) {
            leaveQueue();
            refuseOrFail("stopping");
        }
    }

    private void onQueueTimeout() {
        if (!queued || finished) {
            return;
        }
        leaveQueue();
        refuseOrFail("waited_" + shortage);
    }

    private void sendTo(UpstreamInstance instance) {
        long now = Timestamp.monotonicNowMillis();
        sendCount++;
        triedInstances.add(instance.id());
        OptionalLong lastEvent = stream != null && stream.lastEventId() >= 0
                ? OptionalLong.of(stream.lastEventId())
                : admitted.caller().lastEventId();
        RequestHeaders.Send headers = new RequestHeaders.Send(
                instance.id(),
                admitted.team().map(TeamLimits::name),
                Math.max(1, deadlineMillis - now),
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
        currentAttempt = next;
        next.start();
        sending = dispatcher.pool().send(instance, copy, admitted.caller().id(), next);
        if (currentAttempt != next) {
            sending = null;
        }
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        cancelCurrentAttempt();
        if (!mayHaveRun) {
            refuseOrFail("timeout");
            return;
        }
        outcomeLog.logTimeout(this);
        if (response.isStreamStarted()) {
            finish();
            response.abort();
        } else {
            respond(GATEWAY_TIMEOUT, EmptyHttpHeaders.INSTANCE);
        }
    }

    long ageMillis() {
        return Timestamp.monotonicNowMillis() - arrivedMillis;
    }

    /** The caller has left; what runs for it is cancelled. */
    void onCallerDisconnected() {
        if (!finished) {
            leaveQueue();
            cancelCurrentAttempt();
            finish();
        }
    }

    void cancelCurrentAttempt() {
        SendAttempt current = currentAttempt;
        currentAttempt = null;
        if (current != null) {
            current.close();
        }
        if (sending != null) {
            mayHaveRun |= sending.cancel();
            sending = null;
        }
    }

    /** Ends the request with the truest refusal or failure. */
    private void refuseOrFail(String reason) {
        outcomeLog.logFailureOrRefusal(this, mayHaveRun, reason);
        if (response.isStreamStarted()) {
            finish();
            response.abort();
        } else if (mayHaveRun) {
            respond(BAD_GATEWAY, EmptyHttpHeaders.INSTANCE);
        } else {
            refundRateTokens();
            if (shortage == Shortage.NOT_RESIDENT) {
                target().ifPresent(dispatcher::recordRefusal);
            }
            HttpHeaders headers = ResponseWriter.newHeaders();
            RequestHeaders.retryAfter(headers, retryAfterMillis);
            respond(SERVICE_UNAVAILABLE, headers);
        }
    }

    private void refundRateTokens() {
        admitted.team()
                .filter(TeamLimits::limited)
                .ifPresent(team -> dispatcher
                        .view()
                        .bucket(team.name())
                        .ifPresent(bucket ->
                                bucket.giveBack(team.charge(admitted.caller().statedTokens()))));
    }

    private void respond(int status, HttpHeaders headers) {
        finish();
        response.writeLocalResponse(status, headers, admitted.caller().id());
    }

    void finish() {
        finished = true;
        leaveQueue();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        request.release();
        dispatcher.closeRequest();
        dispatcher.scheduleDispatch();
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    AdmittedRequest admitted() {
        return admitted;
    }

    ResponseWriter response() {
        return response;
    }

    Prompt prompt() {
        return prompt;
    }

    StreamLatency latency() {
        return latency;
    }

    int sendCount() {
        return sendCount;
    }

    Optional<ResumableEventStream> stream() {
        return Optional.ofNullable(stream);
    }

    void beginStream(ResumableEventStream first, int status, HttpHeaders headers) {
        stream = first;
        response.beginStream(status, headers);
    }

    boolean isCurrentAttempt(SendAttempt attempt) {
        return currentAttempt == attempt;
    }

    /** Records that the request has run or may have run. */
    void recordPossibleRun() {
        possibleRunCount++;
        mayHaveRun = true;
    }

    /** Ends the present send, whose connection is no longer needed. */
    void closeCurrentAttempt() {
        SendAttempt current = currentAttempt;
        currentAttempt = null;
        sending = null;
        if (current != null) {
            current.close();
        }
    }

    /** Returns whether the kind of the route, its limit of sends and the time that is left allow another send. */
    boolean canRetry(long leastMillis) {
        return (!mayHaveRun || admitted.route().repeatable())
                && possibleRunCount < admitted.route().maximumAttempts()
                && sendCount < MAXIMUM_SENDS
                && deadlineMillis - Timestamp.monotonicNowMillis() > leastMillis;
    }

    /**
     * Returns the instance at which the request may go on though the present one may still run it: one that can take it
     * now, within the limits of sends. What is slow stays where it is if nobody else can take it.
     */
    Optional<UpstreamInstance> reserveFailover() {
        boolean allowed = admitted.route().repeatable()
                && possibleRunCount <= 1
                && admitted.route().maximumAttempts() > 1
                && sendCount < MAXIMUM_SENDS
                && deadlineMillis - Timestamp.monotonicNowMillis() > MINIMUM_RETRY_REMAINING_MILLIS;
        if (!allowed) {
            return Optional.empty();
        }
        return selectInstance()
                .instance()
                .filter(instance -> dispatcher
                        .retryAllowance(admitted.service())
                        .tryRepeat(
                                Timestamp.monotonicNowMillis(),
                                dispatcher.view().entryCount()));
    }

    /** Goes on at another instance, which was reserved. */
    void failOver(UpstreamInstance instance, String reason) {
        cancelCurrentAttempt();
        outcomeLog.logRetry(this, reason, triedInstances);
        assign(instance);
    }

    /** The caller takes what it is sent, or has stopped taking it. */
    void setCallerReading(boolean reads) {
        if (sending != null) {
            sending.reading(reads);
        }
        if (currentAttempt != null) {
            currentAttempt.setPaused(!reads);
        }
    }

    /** Allows an instance that declined the request for now to be chosen again. */
    void allowInstanceAgain(String instance) {
        triedInstances.remove(instance);
    }

    /** Chooses anew after nothing was sent. */
    void onNotSent() {
        sendCount--;
        if (deadlineMillis - Timestamp.monotonicNowMillis() > MINIMUM_RETRY_REMAINING_MILLIS) {
            dispatch();
        } else {
            refuseOrFail("unreachable");
        }
    }

    /** Sends again in place of passing on a failure, or passes it on if the budget for repeats is used up. */
    void retryOrForwardFailure(RequestHeaders.AnswerHead failure, HttpHeaders headers, ByteBuf body) {
        closeCurrentAttempt();
        if (dispatcher
                .retryAllowance(admitted.service())
                .tryRepeat(Timestamp.monotonicNowMillis(), dispatcher.view().entryCount())) {
            body.release();
            retry("status_" + failure.status());
            return;
        }
        finish();
        response.writeResponse(failure.status(), headers, body);
    }

    private void retry(String reason) {
        outcomeLog.logRetry(this, reason, triedInstances);
        dispatch();
    }

    /** Sends again after a failure if that is allowed, or gives up. */
    void retryOrFail(String reason) {
        if (finished) {
            return;
        }
        if (canRetry(MINIMUM_RETRY_REMAINING_MILLIS)
                && dispatcher
                        .retryAllowance(admitted.service())
                        .tryRepeat(
                                Timestamp.monotonicNowMillis(),
                                dispatcher.view().entryCount())) {
            retry(reason);
        } else {
            refuseOrFail(reason);
        }
    }
}
