package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.oleandermoor.gateway.upstream.Attempt;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.platform.RequestHeaders.AnswerHead;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.RequestKind;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** One send of a request to an instance and what comes of it. Used on the event loop only. */
final class SendAttempt implements Attempt {

    private static final int MAXIMUM_BUFFERED_BODY_BYTES = 4 << 20;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final RequestExchange exchange;
    private final UpstreamInstance instance;
    private @Nullable AnswerHead responseHead;
    private @Nullable HttpHeaders responseHeaders;
    private @Nullable ByteBuf body;
    private boolean counted;
    private long unreadPromptTokens;
    private final int loadAtSend;
    private boolean runRecorded;
    private boolean paused;
    private int ticksWithoutEvent;
    private long lastEventMillis = -1;

    SendAttempt(RequestExchange exchange, UpstreamInstance instance) {
        this.exchange = exchange;
        this.instance = instance;
        this.loadAtSend = exchange.dispatcher().view().instances().load(instance.id());
    }

    /** Counts the request at the instance. */
    void start() {
        counted = true;
        exchange.dispatcher().silenceDetector().attemptStarted(instance.id(), this);
        unreadPromptTokens = exchange.prompt().tokens();
        instanceState().ifPresent(state -> {
            state.sent();
            state.promptSent(unreadPromptTokens);
        });
        target().ifPresent(target -> exchange.dispatcher().changeRunning(target, 1));
    }

    /** The instance has answered or the send has ended: the prompt no longer keeps others from being read. */
    private void markPromptRead() {
        if (unreadPromptTokens > 0) {
            long tokens = unreadPromptTokens;
            unreadPromptTokens = 0;
            instanceState().ifPresent(state -> state.promptRead(tokens));
            exchange.dispatcher().scheduleDispatch();
        }
    }

    /** Ends the count and releases what was kept of the answer. */
    void close() {
        if (counted) {
            counted = false;
            markPromptRead();
            exchange.dispatcher().silenceDetector().attemptEnded(instance.id(), this);
            instanceState().ifPresent(InstanceState::ended);
            target().ifPresent(target -> exchange.dispatcher().changeRunning(target, -1));
        }
        detachBody().release();
    }

    /** Counts the run once, though both the head and the end of an answer may tell of it. */
    private void recordPossibleRun() {
        if (!runRecorded) {
            runRecorded = true;
            exchange.recordPossibleRun();
        }
    }

    private Optional<InstanceState> instanceState() {
        return exchange.dispatcher().view().instances().state(instance.id());
    }

    /** Returns whether events of a stream are due from the instance, and its caller takes them. */
    boolean expectsEvents() {
        return responseHead != null && body == null && !paused;
    }

    /** Notes whether the instance is not read because the caller takes nothing. */
    void setPaused(boolean isPaused) {
        paused = isPaused;
        ticksWithoutEvent = 0;
    }

    /** Counts a tick in which no new event came, and returns how many there are in a row. */
    int countTickWithoutEvent() {
        return ++ticksWithoutEvent;
    }

    /** The instance or the stream has gone silent; the request goes on elsewhere if another instance can take it. */
    void failOverAfterSilence(String reason) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        exchange.reserveFailover().ifPresent(other -> {
            recordPossibleRun();
            instanceState().ifPresent(state -> state.lost(Timestamp.monotonicNowMillis()));
            exchange.failOver(other, reason + " of " + instance.id());
        });
    }

    private Optional<ModelTarget> target() {
        return exchange.target();
    }

    @Override
    public void head(AnswerHead answerHead, HttpResponse response) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        exchange.dispatcher().silenceDetector().recordActivity(instance.id());
        responseHead = answerHead;
        HttpHeaders passedOn = RequestHeaders.answer(response.headers());
        responseHeaders = passedOn;
        if (!answerHead.notRun()) {
            recordPossibleRun();
        }
        if (answerHead.success() && (!answerHead.signed() || answerHead.encoded())) {
            fail("unsigned_answer");
        } else if (answerHead.success() && exchange.admitted().route().kind() == RequestKind.STREAMING) {
            beginStream(answerHead.status(), passedOn);
        } else if (exchange.response().isStreamStarted() && !answerHead.notRun()) {
            // A stream that has begun cannot turn into another answer.
            fail("status_" + answerHead.status());
        } else {
            body = Unpooled.buffer();
        }
    }

    private void beginStream(int status, HttpHeaders streamHeaders) {
        instanceState().ifPresent(state -> state.keeps(exchange.prompt()));
        exchange.stream()
                .ifPresentOrElse(
                        ResumableEventStream::resume,
                        () -> exchange.beginStream(
                                new ResumableEventStream(exchange.admitted()
                                        .caller()
                                        .lastEventId()
                                        .orElse(-1)),
                                status,
                                streamHeaders));
    }

    private void fail(String reason) {
        exchange.cancelCurrentAttempt();
        instanceState().ifPresent(state -> state.lost(Timestamp.monotonicNowMillis()));
        exchange.retryOrFail(reason + " of " + instance.id());
    }

    @Override
    public void content(ByteBuf content) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        markPromptRead();
        if (body != null) {
            exchange.dispatcher().silenceDetector().recordActivity(instance.id());
            if (!exchange.dispatcher().addBufferedBytes(content.readableBytes())
                    || body.readableBytes() + content.readableBytes() > MAXIMUM_BUFFERED_BODY_BYTES) {
                body.writeBytes(content);
                fail("answer_too_large");
                return;
            }
            body.writeBytes(content);
            return;
        }
        exchange.stream().ifPresent(events -> {
            ByteBuf whole = events.takeNewEvents(content);
            if (whole.isReadable()) {
                // Only new events are a sign of life: an instance in trouble may send bytes without end.
                exchange.dispatcher().silenceDetector().recordActivity(instance.id());
                ticksWithoutEvent = 0;
                long now = Timestamp.monotonicNowMillis();
                if (lastEventMillis >= 0 && !paused) {
                    exchange.dispatcher().view().instances().streamed(instance.id(), now - lastEventMillis, now);
                }
                lastEventMillis = now;
                exchange.latency().recordEvents(now);
                exchange.response().writeEvents(whole);
            } else {
                whole.release();
            }
            if (events.isEventTooLarge()) {
                fail("event_too_large");
            }
        });
    }

    @Override
    public void ended() {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        AnswerHead answer = responseHead;
        HttpHeaders answerHeaders = responseHeaders;
        if (answer == null || answerHeaders == null) {
            fail("no_head");
        } else if (answer.notRun()) {
            handleNotRun(answer);
        } else if (body == null && exchange.stream().isPresent()) {
            completeStream(exchange.stream().get());
        } else {
            completeResponse(answer, answerHeaders);
        }
    }

    private void completeResponse(AnswerHead answer, HttpHeaders answerHeaders) {
        boolean failure = answer.status() >= FIRST_SERVER_ERROR_STATUS;
        long now = Timestamp.monotonicNowMillis();
        instanceState().ifPresent(failure ? state -> state.failed(now) : state -> state.succeeded(now));
        long half = exchange.admitted().route().latencyTargetMillis() / 2;
        // A failure is passed on as it came unless there is time for another instance to do better.
        if (failure && exchange.canRetry(half)) {
            exchange.retryOrForwardFailure(answer, answerHeaders, detachBody());
            return;
        }
        ByteBuf whole = detachBody();
        exchange.closeCurrentAttempt();
        exchange.finish();
        exchange.response().writeResponse(answer.status(), answerHeaders, whole);
    }

    private ByteBuf detachBody() {
        ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        exchange.dispatcher().addBufferedBytes(-whole.readableBytes());
        return whole;
    }

    private void completeStream(ResumableEventStream events) {
        if (!events.isAtEventBoundary()) {
            fail("ended_within_event");
            return;
        }
        instanceState().ifPresent(state -> state.succeeded(Timestamp.monotonicNowMillis()));
        if (exchange.latency().missesTargets(exchange.admitted().route())) {
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
                        "request={} route={} target={} instance={} first_ms={} pause_ms={} sends={} load_sent={} load={}",
                        exchange.admitted().caller().id(),
                        exchange.admitted().route().name(),
                        target().map(ModelTarget::toString).orElse("-"),
                        instance.id(),
                        exchange.latency().firstEventDelayMillis(),
                        exchange.latency().longestPauseMillis(),
                        exchange.sendCount(),
                        loadAtSend,
                        instances.load(instance.id()));
    }

    private void handleNotRun(AnswerHead answer) {
        long now = Timestamp.monotonicNowMillis();
        instanceState().ifPresent(state -> {
            if (answer.otherInstance() && target().isPresent()) {
                state.declined(target().get(), now);
            } else {
                state.failed(now);
            }
        });
        exchange.closeCurrentAttempt();
        if (answer.otherInstance()) {
            exchange.allowInstanceAgain(instance.id());
        }
        exchange.retryOrFail("not_run_" + answer.status() + " of " + instance.id());
    }

    @Override
    public void broken(Break how, String reason) {
        if (!exchange.isCurrentAttempt(this)) {
            return;
        }
        exchange.closeCurrentAttempt();
        long now = Timestamp.monotonicNowMillis();
        if (how == Break.NOT_SENT) {
            instanceState().ifPresent(state -> state.unreachable(now));
            exchange.onNotSent();
            return;
        }
        recordPossibleRun();
        instanceState().ifPresent(state -> state.lost(now));
        exchange.retryOrFail(reason + " of " + instance.id());
    }
}
