package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.oleandermoor.gateway.upstream.ResponseListener;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.platform.RequestHeaders.ResponseHead;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.RequestKind;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Handles one send of a request to an instance and its outcome. Used on the event loop only. */
final class SendAttempt implements ResponseListener {

    private static final int MAXIMUM_BUFFERED_BODY_BYTES = 4 << 20;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final RequestExchange exchange;
    private final UpstreamInstance instance;
    private final RunEvidence evidence;
    private final SentRun run;
    private @Nullable ResponseHead responseHead;
    private @Nullable HttpHeaders responseHeaders;
    private @Nullable ByteBuf body;
    private int incompleteEventBytes;
    private boolean counted;
    private long unreadPromptTokens;
    private final int loadAtSend;
    private final long sentMillis = Timestamp.monotonicNowMillis();
    /** The time at which the send counts for the limit on cold instances. */
    private long countedSendMillis = sentMillis;

    private boolean shareSpent;
    private boolean runRecorded;
    private boolean paused;
    private int ticksWithoutEvent;
    private long firstEventMillis = -1;
    private long lastEventMillis = -1;

    SendAttempt(RequestExchange exchange, UpstreamInstance instance, RunEvidence evidence) {
        this.exchange = exchange;
        this.instance = instance;
        this.evidence = evidence;
        this.run = new SentRun(exchange.dispatcher(), instance);
        this.loadAtSend = exchange.dispatcher().view().instances().load(instance.id());
    }

    /** Counts the request in the load of the instance. */
    void start() {
        counted = true;
        exchange.dispatcher().silenceDetector().attemptStarted(instance.id(), this);
        unreadPromptTokens = exchange.prompt().tokens();
        instanceState().ifPresent(state -> {
            state.requestSent();
            state.prefillStarted(unreadPromptTokens);
        });
        exchange.dispatcher().view().instances().recordSend(instance.id(), sentMillis);
        if (unreadPromptTokens > 0) {
            exchange.dispatcher().reportPromptChange(instance.id());
        }
        target().ifPresent(target -> exchange.dispatcher().changeRunning(target, 1));
    }

    /**
     * Records that the instance has read the prompt or the attempt has ended, which lets other prompts be sent to it.
     */
    private void markPromptRead() {
        if (unreadPromptTokens > 0) {
            long tokens = unreadPromptTokens;
            unreadPromptTokens = 0;
            instanceState().ifPresent(state -> state.prefillEnded(tokens));
            exchange.dispatcher().reportPromptChange(instance.id());
            exchange.dispatcher().scheduleDispatch();
        }
    }

    /** Removes the request from the load of the instance and releases the buffered response. */
    void close() {
        if (counted) {
            counted = false;
            markPromptRead();
            exchange.dispatcher().silenceDetector().attemptEnded(instance.id(), this);
            instanceState().ifPresent(state -> {
                state.requestEnded();
                state.forgetStream(exchange.sequenceNumber());
            });
            target().ifPresent(target -> exchange.dispatcher().changeRunning(target, -1));
        }
        countIncompleteEvent(0);
        detachBody().release();
    }

    /** Records a possible run once, although both the head and the end of the response may indicate it. */
    private void recordPossibleRun() {
        if (!runRecorded) {
            runRecorded = true;
            exchange.recordPossibleRun();
        }
    }

    private Optional<InstanceState> instanceState() {
        return exchange.dispatcher().view().instances().state(instance.id());
    }

    /** Returns whether stream events are due from the instance and the caller reads them. */
    boolean expectsEvents() {
        return responseHead != null && body == null && !paused;
    }

    /** Sets whether reading from the instance is paused because the caller does not read. */
    void setPaused(boolean newPaused) {
        paused = newPaused;
        ticksWithoutEvent = 0;
        instanceState().ifPresent(state -> state.forgetStream(exchange.sequenceNumber()));
    }

    /** Counts a tick without a new event and returns the number of consecutive ones. */
    int countTickWithoutEvent() {
        return ++ticksWithoutEvent;
    }

    /** Moves the request to another instance, if one can take it, because the instance or the stream is silent. */
    void failOverAfterSilence(String reason) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        exchange.reserveFailover().ifPresent(other -> {
            recordPossibleRun();
            instanceState().ifPresent(state -> state.recordConnectionLoss(Timestamp.monotonicNowMillis()));
            exchange.failOver(other, reason + " of " + instance.id());
        });
    }

    private Optional<ModelTarget> target() {
        return exchange.target();
    }

    @Override
    public boolean maySend() {
        long now = Timestamp.monotonicNowMillis();
        DeploymentView view = exchange.dispatcher().view();
        if (view.instances().isWithdrawn(instance, now) || !isCurrentRun()) {
            return false;
        }
        if (run.isUncertain() && exchange.continuation().requirement().isBound()) {
            exchange.allowInstanceAgain(instance.id());
            return false;
        }
        shareSpent = !view.coldStarts().confirmSend(instance.id(), countedSendMillis, now);
        countedSendMillis = now;
        return !shareSpent;
    }

    /** Returns whether the instance has not started again since it was chosen, maybe with another software version. */
    private boolean isCurrentRun() {
        return exchange.dispatcher()
                .view()
                .instances()
                .state(instance.id(), instance.startedMillis())
                .isPresent();
    }

    @Override
    public void onHead(ResponseHead head, HttpResponse response) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        exchange.dispatcher().silenceDetector().recordActivity(instance.id());
        responseHead = head;
        HttpHeaders forwardedHeaders = RequestHeaders.encodeResponse(response.headers());
        responseHeaders = forwardedHeaders;
        // A success contradicts the statement that nothing was run.
        boolean contradictory = head.success() && head.notExecuted();
        if (!head.notExecuted() || contradictory) {
            recordPossibleRun();
        }
        if (contradictory) {
            fail("contradictory_answer");
        } else if (head.success() && (!head.signed() || head.contentEncoded())) {
            fail("unsigned_answer");
        } else if (head.success() && exchange.admitted().route().kind() == RequestKind.STREAMING) {
            beginStream(head.status(), forwardedHeaders);
        } else if (exchange.response().isStreamStarted() && !head.notExecuted()) {
            // A started stream cannot be replaced by another response.
            fail("status_" + head.status());
        } else {
            body = Unpooled.buffer();
        }
    }

    private void beginStream(int status, HttpHeaders streamHeaders) {
        instanceState().ifPresent(state -> state.recordCachedPrefixes(exchange.prompt()));
        exchange.stream()
                .ifPresentOrElse(
                        ResumableEventStream::resume,
                        () -> exchange.beginStream(
                                new ResumableEventStream(
                                        exchange.admitted().caller().lastEventId()),
                                status,
                                streamHeaders));
    }

    /** Returns what the run tells about whether its request ends instances. */
    RunEvidence evidence() {
        return evidence;
    }

    private void recordProgress(long now) {
        if (lastEventMillis >= 0) {
            exchange.dispatcher().view().instances().recordStreamEvent(instance.id(), now - lastEventMillis, now);
        }
        long targetMillis = exchange.admitted().route().eventIntervalTargetMillis();
        instanceState().ifPresent(state -> state.recordStreamProgress(exchange.sequenceNumber(), targetMillis, now));
    }

    private void fail(String reason) {
        exchange.cancelCurrentAttempt();
        instanceState().ifPresent(state -> state.recordConnectionLoss(Timestamp.monotonicNowMillis()));
        exchange.retryOrFail(reason + " of " + instance.id());
    }

    @Override
    public void onContent(ByteBuf content) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        markPromptRead();
        if (body != null) {
            exchange.dispatcher().silenceDetector().recordActivity(instance.id());
            int addedBytes = content.readableBytes();
            body.writeBytes(content);
            evidence.recordPiece(Timestamp.monotonicNowMillis());
            if (!exchange.dispatcher().addBufferedBytes(addedBytes, body.readableBytes())
                    || body.readableBytes() > MAXIMUM_BUFFERED_BODY_BYTES) {
                fail("answer_too_large");
            }
            return;
        }
        exchange.stream().ifPresent(events -> {
            ByteBuf newEvents = events.takeNewEvents(content);
            if (newEvents.isReadable()) {
                // Only new events count as activity: a faulty instance may send bytes indefinitely.
                exchange.dispatcher().silenceDetector().recordActivity(instance.id());
                ticksWithoutEvent = 0;
                long now = Timestamp.monotonicNowMillis();
                if (!paused) {
                    recordProgress(now);
                }
                firstEventMillis = firstEventMillis < 0 ? now : firstEventMillis;
                lastEventMillis = now;
                evidence.recordPiece(now);
                exchange.latency().recordEvents(now);
                exchange.continuation().recordEvents(run);
                exchange.response().writeEvents(newEvents);
            } else {
                newEvents.release();
            }
            if (!countIncompleteEvent(events.incompleteBytes()) || events.isEventTooLarge()) {
                fail("event_too_large");
            } else if (events.isForeignEventSeen()) {
                fail("foreign_event");
            }
        });
    }

    /** Counts the bytes of the incomplete event as buffered. Returns whether it may be buffered. */
    private boolean countIncompleteEvent(int bytes) {
        int addedBytes = bytes - incompleteEventBytes;
        incompleteEventBytes = bytes;
        return exchange.dispatcher().addBufferedBytes(addedBytes, bytes);
    }

    @Override
    public void onComplete() {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        ResponseHead head = responseHead;
        HttpHeaders headers = responseHeaders;
        if (head == null || headers == null) {
            fail("no_head");
        } else if (head.notExecuted()) {
            handleNotRun(head);
        } else if (body == null && exchange.stream().isPresent()) {
            completeStream(head, exchange.stream().get());
        } else {
            completeResponse(head, headers);
        }
    }

    private void completeResponse(ResponseHead head, HttpHeaders headers) {
        evidence.recordAnswer(head.delimitedByClose());
        boolean failure = head.status() >= FIRST_SERVER_ERROR_STATUS;
        long now = Timestamp.monotonicNowMillis();
        instanceState().ifPresent(failure ? state -> state.recordFailure(now) : state -> state.recordSuccess(now));
        long halfTargetMillis = exchange.admitted().route().latencyTargetMillis() / 2;
        // A failure is forwarded unchanged unless there is time for a retry at another instance.
        if (failure && exchange.canRetry(halfTargetMillis)) {
            exchange.retryOrForwardFailure(head, headers, detachBody());
            return;
        }
        ByteBuf completeBody = detachBody();
        exchange.closeCurrentAttempt();
        exchange.finish();
        exchange.response().writeResponse(head.status(), headers, completeBody);
    }

    private ByteBuf detachBody() {
        ByteBuf detached = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        exchange.dispatcher().addBufferedBytes(-detached.readableBytes(), 0);
        return detached;
    }

    private void completeStream(ResponseHead head, ResumableEventStream events) {
        if (!events.isAtEventBoundary()) {
            exchange.closeCurrentAttempt();
            handleLostConnection("ended_within_event");
            return;
        }
        // A run makes at least one event; only one that goes on behind the last event of another may have none.
        boolean resumed = events.lastEventId().isPresent() && !head.delimitedByClose();
        if (firstEventMillis < 0 && !resumed && !exchange.isHeadRequest()) {
            exchange.closeCurrentAttempt();
            handleLostConnection("ended_without_event");
            return;
        }
        evidence.recordAnswer(head.delimitedByClose());
        long now = Timestamp.monotonicNowMillis();
        instanceState().ifPresent(state -> state.recordSuccess(now));
        exchange.dispatcher().recordRun(now - sentMillis);
        if (exchange.latency().missedTargets(exchange.admitted().route()) != StreamLatency.MissedTargets.NONE) {
            logLateStream();
        }
        exchange.closeCurrentAttempt();
        exchange.finish();
        exchange.response().endStream();
    }

    private void logLateStream() {
        InstanceTable instances = exchange.dispatcher().view().instances();
        exchange.dispatcher()
                .eventLog()
                .log(
                        "late",
                        "request={} route={} team={} target={} instance={} missed={} first_ms={} pause_ms={} sends={}"
                                + " prompt_tokens={} load_sent={} load={}",
                        exchange.admitted().caller().id(),
                        exchange.admitted().route().name(),
                        exchange.admitted().team().map(TeamLimits::name).orElse("-"),
                        target().map(ModelTarget::toString).orElse("-"),
                        instance.id(),
                        exchange.latency().missedTargets(exchange.admitted().route()),
                        exchange.latency().firstEventDelayMillis(),
                        exchange.latency().longestPauseMillis(),
                        exchange.sendCount(),
                        exchange.prompt().tokens(),
                        loadAtSend,
                        instances.load(instance.id()));
    }

    private void handleNotRun(ResponseHead head) {
        long now = Timestamp.monotonicNowMillis();
        instanceState().ifPresent(state -> {
            if (head.misdirected() && target().isPresent()) {
                state.recordMissingTarget(target().get(), now);
            } else {
                state.recordFailure(now);
            }
        });
        exchange.closeCurrentAttempt();
        if (head.misdirected()) {
            exchange.allowInstanceAgain(instance.id());
            giveShareBack();
        }
        exchange.retryOrFail("not_run_" + head.status() + " of " + instance.id());
    }

    /** Gives the share in a cold instance back, because the instance certainly did not accept the request. */
    private void giveShareBack() {
        if (!shareSpent) {
            exchange.dispatcher().view().coldStarts().giveBack(instance.id(), countedSendMillis);
        }
    }

    @Override
    public void onFailure(FailureKind how, String reason) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        exchange.closeCurrentAttempt();
        long now = Timestamp.monotonicNowMillis();
        if (how == FailureKind.NOT_SENT) {
            exchange.dispatcher().view().coldStarts().recordContactLost(instance.id());
        }
        if (how != FailureKind.OUTCOME_UNKNOWN) {
            if (how == FailureKind.NOT_SENT) {
                exchange.dispatcher().crashDetector().contactLost(instance.id());
                instanceState().ifPresent(state -> state.recordUnreachable(now));
            }
            if (shareSpent) {
                exchange.allowInstanceAgain(instance.id());
            }
            giveShareBack();
            exchange.onNotSent();
            return;
        }
        recordPossibleRun();
        handleLostConnection(reason);
    }

    /**
     * Ends or repeats the request; if it may have ended the instance, once it is known whether the instance has ended.
     */
    private void handleLostConnection(String reason) {
        long now = Timestamp.monotonicNowMillis();
        logLoss(now);
        instanceState().ifPresent(state -> state.recordConnectionLoss(now));
        evidence.connectionLost(() -> exchange.retryOrFail(reason + " of " + instance.id()));
    }

    /** Logs how far the request had got, from which the request that ended an instance can be told. */
    private void logLoss(long now) {
        exchange.dispatcher()
                .eventLog()
                .log(
                        "attempt_lost",
                        "request={} instance={} target={} sent_ms={} head={} first_event_ms={} shared_parts={}",
                        exchange.admitted().caller().id(),
                        instance.id(),
                        target().map(ModelTarget::toString).orElse("-"),
                        now - sentMillis,
                        responseHead != null,
                        firstEventMillis < 0 ? -1 : now - firstEventMillis,
                        exchange.admitted().caller().sharedPartIds());
    }
}
