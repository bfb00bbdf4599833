package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.dispatch.DispatchMechanism;
import io.oleandermoor.state.dispatch.EventId;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.Prompt;
import io.oleandermoor.state.dispatch.QueueOrder;
import io.oleandermoor.state.dispatch.WaitPolicy;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.quarantine.RequestQuarantine.Quarantine;
import io.oleandermoor.state.quarantine.RequestTraits;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Handles one caller request from its arrival to its single response. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the channel handlers; tasks run on the loop.
final class RequestExchange {

    /** Time reserved before the deadline for the response to reach the caller. */
    private static final long RESPONSE_MARGIN_MILLIS = 30;
    /** Time that must remain before the deadline for another send. */
    private static final long MINIMUM_RETRY_REMAINING_MILLIS = 60;

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    /** Time after which the caller of a stopping entry retries at another one, which may have a slot at once. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 100;
    /** A caller waits at most this part of its remaining time before it returns. */
    private static final int RETURN_SHARE = 3;

    private final RequestDispatcher dispatcher;
    private final ResponseWriter response;
    private final FullHttpRequest request;
    private final AdmittedRequest admitted;
    private final long sequenceNumber;
    private final long arrivedMillis = Timestamp.monotonicNowMillis();
    private final long deadlineMillis;
    private final SendHistory sends = new SendHistory();
    private final ActiveSend activeSend = new ActiveSend();
    private final RequestOutcomeLog outcomeLog;
    private final Prompt prompt;
    private final RequestTraits traits;
    private final StreamLatency latency = new StreamLatency(arrivedMillis);
    private final QueueOrder.Position position;
    private final InstanceTable.Terms terms;
    private final StreamContinuation continuation;
    private final OneShotTimer deadlineTimer = new OneShotTimer();
    private final OneShotTimer queueTimer = new OneShotTimer();
    private @Nullable ResumableEventStream stream;
    private boolean queued;
    private boolean finished;
    private long retryAfterMillis = DEFAULT_RETRY_AFTER_MILLIS;
    private Shortage shortage = Shortage.FULL;

    RequestExchange(
            RequestDispatcher dispatcher, ResponseWriter response, FullHttpRequest request, AdmittedRequest admitted) {
        this.dispatcher = dispatcher;
        this.response = response;
        this.request = request;
        this.admitted = admitted;
        this.sequenceNumber = dispatcher.nextSequenceNumber();
        this.traits = InstanceRequests.traits(request, admitted);
        this.outcomeLog = new RequestOutcomeLog(dispatcher);
        this.deadlineMillis = arrivedMillis + admitted.caller().allowedMillis(admitted.route());
        this.position = admitted.position(sequenceNumber, arrivedMillis);
        this.terms = admitted.terms(arrivedMillis);
        this.continuation = new StreamContinuation(dispatcher.streamOrigins(), admitted);
        this.prompt = admitted.target().isPresent() ? Prompt.of(admitted.caller()) : Prompt.NONE;
    }

    /** Returns what determines the place of the request in the queue. */
    QueueOrder.Position position() {
        return position;
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

    boolean isHeadRequest() {
        return HttpMethod.HEAD.equals(request.method());
    }

    String capacityKey() {
        return admitted.capacityKey();
    }

    /** Returns whether the request waits for a free slot rather than for its model or adapter to be loaded. */
    boolean waitsForCapacity() {
        return queued && shortage == Shortage.FULL;
    }

    /** Returns the key of what the request requires; requests with the same key are blocked together. */
    String requirementKey() {
        String adapter = target().map(ModelTarget::adapter).orElse("");
        return capacityKey() + adapter + " " + sends.triedInstances() + continuation.requirement();
    }

    /**
     * Returns whether the request needs what it waits for now. The load of a model that no instance holds can start
     * later if the request then still meets its latency target; more requests for the model arrive in the meantime.
     */
    boolean isDemandImmediate() {
        return !dispatcher.uses(DispatchMechanism.DEFERRED_DEMAND)
                || WaitPolicy.isUrgent(
                        admitted.route(), shortage, ageMillis(), () -> dispatcher.expectedWaitMillis(this, shortage));
    }

    void start() {
        dispatcher.openRequest(this);
        dispatcher.retryAllowance(admitted.service()).recordRequest(arrivedMillis);
        long delayMillis = Math.max(1, deadlineMillis - arrivedMillis - RESPONSE_MARGIN_MILLIS);
        deadlineTimer.schedule(dispatcher.loop(), this::expire, delayMillis);
        continuation.findOrigin(this::dispatch);
    }

    private void dispatch() {
        if (finished || refuseIfQuarantined()) {
            return;
        }
        InstanceSelection selection = selectInstance();
        if (selection.shortage().filter(Shortage::refusedAtOnce).isPresent()) {
            refuseAtOnce(selection);
            return;
        }
        Optional<Shortage> waitReason =
                WaitPolicy.reasonToWait(selection.shortage(), dispatcher.queue().countAhead(this));
        if (waitReason.isPresent()) {
            dispatcher.recordShortage(this, waitReason.get());
            enqueue(waitReason.get());
        } else {
            selection.instance().ifPresent(this::assign);
        }
    }

    /**
     * Refuses the request if requests like it end the instances that answer them, and cancels it at its instance. An
     * answer that is under way is only cut off if this very request has ended instances before.
     *
     * @return whether the request was refused
     */
    boolean refuseIfQuarantined() {
        if (finished) {
            return false;
        }
        Optional<Quarantine> quarantine = dispatcher.quarantine().find(traits);
        if (quarantine.isEmpty()
                || (activeSend.isUnderWay() && !quarantine.get().isOfWholeRequest())) {
            return false;
        }
        cancelCurrentAttempt();
        retryAfterMillis = quarantine.get().untilMillis() - Timestamp.monotonicNowMillis();
        refuseOrFail("quarantined", false);
        return true;
    }

    private InstanceSelection selectInstance() {
        InstanceTable.InstanceQuery query = new InstanceTable.InstanceQuery(
                admitted.service(), target(), prompt, sends.triedInstances(), terms.with(continuation.requirement()));
        return dispatcher.view().instances().choose(query, Timestamp.monotonicNowMillis());
    }

    /** Refuses the request until the first instance that could run it ends its pause, if any has asked for one. */
    private void refuseAtOnce(InstanceSelection selection) {
        shortage = selection.shortage().orElse(Shortage.WITHDRAWN);
        selection
                .pauseEndMillis()
                .ifPresent(end -> retryAfterMillis = Math.max(1, end - Timestamp.monotonicNowMillis()));
        refuseOrFail(admitted.refusalReason(shortage));
    }

    private void assign(UpstreamInstance instance) {
        dispatcher.recordAssignment(capacityKey(), target());
        sendTo(instance);
    }

    private void enqueue(Shortage reason) {
        shortage = reason;
        if (dispatcher.view().isStopping()) {
            refuseBecauseStopping();
            return;
        }
        // After the last event of a started stream its caller waits as long as for the first event.
        long waitedMillis = response.isStreamStarted() ? 0 : ageMillis();
        WaitPolicy.Decision decision = WaitPolicy.decide(
                admitted.route(),
                deadlineMillis - arrivedMillis,
                waitedMillis,
                dispatcher.expectedWaitMillis(this, reason),
                admitted.retryJitter());
        retryAfterMillis = decision.retryMillis();
        if (decision.waitMillis() <= 0) {
            refuseOrFail("no_place_" + reason);
            return;
        }
        queued = true;
        dispatcher.queue().add(this);
        queueTimer.schedule(dispatcher.loop(), this::onQueueTimeout, decision.waitMillis());
    }

    private void leaveQueue() {
        queued = false;
        dispatcher.queue().remove(this);
        queueTimer.cancel();
    }

    /** Sends the queued request if an instance can take it now. Returns whether it needs no further dispatch. */
    boolean tryDispatch() {
        if (finished) {
            return true;
        }
        InstanceSelection selection = selectInstance();
        if (selection.instance().isEmpty()) {
            shortage = selection.shortage().orElse(Shortage.FULL);
            if (shortage.refusedAtOnce()) {
                leaveQueue();
                refuseAtOnce(selection);
                return true;
            }
            dispatcher.recordShortage(this, shortage);
            return false;
        }
        leaveQueue();
        assign(selection.instance().get());
        return true;
    }

    /** Refuses the request if it is still queued, because this process is about to stop. */
    void rejectOnShutdown() {
        if (queued && !finished) {
            leaveQueue();
            refuseBecauseStopping();
        }
    }

    private void refuseBecauseStopping() {
        retryAfterMillis = STOPPING_RETRY_AFTER_MILLIS;
        refuseOrFail("stopping");
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
        sends.recordSend(instance.id());
        Optional<EventId> lastEventId = stream()
                .flatMap(ResumableEventStream::lastEventId)
                .or(() -> admitted.caller().lastEventId());
        FullHttpRequest copy = InstanceRequests.create(request, admitted, instance, deadlineMillis - now, lastEventId);
        SendAttempt attempt =
                new SendAttempt(this, instance, new RunEvidence(this, instance, deadlineMillis, lastEventId.isEmpty()));
        activeSend.begin(
                attempt,
                () -> dispatcher.pool().send(instance, copy, admitted.caller().id(), attempt));
    }

    /** Ends the request: refuses it if it has certainly not run, and reports a timeout if it may have run. */
    void expire() {
        if (finished) {
            return;
        }
        cancelCurrentAttempt();
        if (!sends.mayHaveRun()) {
            refuseOrFail("timeout");
            return;
        }
        outcomeLog.logTimeout(this);
        if (response.isStreamStarted()) {
            abortStream();
        } else {
            respond(HttpResponseStatus.GATEWAY_TIMEOUT, EmptyHttpHeaders.INSTANCE);
        }
    }

    long ageMillis() {
        return Timestamp.monotonicNowMillis() - arrivedMillis;
    }

    /** Cancels the current attempt because the caller has disconnected. */
    void onCallerDisconnected() {
        if (!finished) {
            leaveQueue();
            cancelCurrentAttempt();
            finish();
            continuation.callerMayReturn();
        }
    }

    void cancelCurrentAttempt() {
        sends.recordCancelled(activeSend.cancel());
    }

    /** Ends the request: refuses it if it has certainly not run, and reports a failure if it may have run. */
    private void refuseOrFail(String reason) {
        refuseOrFail(reason, !dispatcher.view().isStopping());
    }

    private void refuseOrFail(String reason, boolean spaceReturn) {
        outcomeLog.logFailureOrRefusal(this, sends.mayHaveRun(), reason);
        if (response.isStreamStarted()) {
            abortStream();
        } else if (sends.mayHaveRun()) {
            respond(HttpResponseStatus.BAD_GATEWAY, EmptyHttpHeaders.INSTANCE);
        } else {
            long maximumDelayMillis = Math.max(0, deadlineMillis - Timestamp.monotonicNowMillis()) / RETURN_SHARE;
            long returnMillis = spaceReturn
                    ? dispatcher.reserveReturn(this, retryAfterMillis, maximumDelayMillis)
                    : retryAfterMillis;
            dispatcher.recordRefusal(this, shortage);
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, ResponseWriter.retryAfterHeaders(returnMillis));
        }
    }

    private void abortStream() {
        finish();
        continuation.callerMayReturn();
        response.abort();
    }

    private void respond(HttpResponseStatus status, HttpHeaders headers) {
        finish();
        response.writeLocalResponse(status.code(), headers, admitted.caller().id());
    }

    void finish() {
        finished = true;
        leaveQueue();
        deadlineTimer.cancel();
        request.release();
        dispatcher.closeRequest(this);
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

    RequestTraits traits() {
        return traits;
    }

    StreamLatency latency() {
        return latency;
    }

    StreamContinuation continuation() {
        return continuation;
    }

    int sendCount() {
        return sends.sendCount();
    }

    Optional<ResumableEventStream> stream() {
        return Optional.ofNullable(stream);
    }

    void beginStream(ResumableEventStream newStream, int status, HttpHeaders headers) {
        stream = newStream;
        response.beginStream(status, headers);
    }

    boolean isCurrentAttempt(SendAttempt attempt) {
        return activeSend.is(attempt);
    }

    /** Records that the request has run or may have run. */
    void recordPossibleRun() {
        sends.recordPossibleRun();
    }

    /** Closes the current attempt, whose connection is no longer needed. */
    void closeCurrentAttempt() {
        activeSend.close();
    }

    /** Returns whether the route, the limits on sends and the remaining time until the deadline allow another send. */
    boolean canRetry(long minimumRemainingMillis) {
        return sends.permitsRetry(admitted.route()) && permitsOtherRun(minimumRemainingMillis);
    }

    /**
     * Chooses another instance that can take the request now although the current one may still run it, and charges the
     * retry allowance. Returns empty if the limits on sends forbid it or no other instance can take the request; a slow
     * request then stays at its current instance.
     */
    Optional<UpstreamInstance> reserveFailover() {
        return sends.permitsFailover(admitted.route()) && permitsOtherRun(MINIMUM_RETRY_REMAINING_MILLIS)
                ? selectInstance().instance().filter(instance -> tryAcquireRetry())
                : Optional.empty();
    }

    private boolean permitsOtherRun(long minimumRemainingMillis) {
        return (stream == null || stream.canResume())
                && deadlineMillis - Timestamp.monotonicNowMillis() > minimumRemainingMillis;
    }

    private boolean tryAcquireRetry() {
        return dispatcher
                .retryAllowance(admitted.service())
                .tryAcquire(Timestamp.monotonicNowMillis(), dispatcher.view().entryCount());
    }

    /** Continues at another instance, which {@link #reserveFailover} returned. */
    void failOver(UpstreamInstance instance, String reason) {
        cancelCurrentAttempt();
        outcomeLog.logRetry(this, reason, sends.triedInstances());
        assign(instance);
    }

    /** Sets whether the caller reads the response. */
    void setCallerReading(boolean reading) {
        activeSend.setCallerReading(reading);
    }

    /** Allows an instance that declined the request temporarily to be chosen again. */
    void allowInstanceAgain(String instance) {
        sends.allowInstanceAgain(instance);
    }

    /** Dispatches the request again after an attempt that sent nothing. */
    void onNotSent() {
        sends.recordNotSent();
        if (deadlineMillis - Timestamp.monotonicNowMillis() > MINIMUM_RETRY_REMAINING_MILLIS) {
            dispatch();
        } else {
            refuseOrFail("unreachable");
        }
    }

    /** Sends the request again instead of forwarding a failure; forwards it if the retry allowance is used up. */
    void retryOrForwardFailure(RequestHeaders.ResponseHead failure, HttpHeaders headers, ByteBuf body) {
        closeCurrentAttempt();
        if (tryAcquireRetry()) {
            body.release();
            retry("status_" + failure.status());
            return;
        }
        finish();
        response.writeResponse(failure.status(), headers, body);
    }

    private void retry(String reason) {
        outcomeLog.logRetry(this, reason, sends.triedInstances());
        dispatch();
    }

    /** Sends the request again after a failure if that is allowed, and otherwise refuses or fails it. */
    void retryOrFail(String reason) {
        if (finished || refuseIfQuarantined()) {
            return;
        }
        if (canRetry(MINIMUM_RETRY_REMAINING_MILLIS) && tryAcquireRetry()) {
            retry(reason);
        } else {
            refuseOrFail(reason);
        }
    }
}
