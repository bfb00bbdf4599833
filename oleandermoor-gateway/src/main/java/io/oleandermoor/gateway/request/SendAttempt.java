package io.oleandermoor.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.oleandermoor.gateway.upstream.ResponseListener;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.platform.RequestHeaders.ResponseHead;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.RequestKind;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** One send of a request to an instance and what comes of it. Used on the event loop only. */
final class SendAttempt implements ResponseListener {

    private static final int LARGEST_PLAIN_ANSWER_BYTES = 4 << 20;
    private static final int FIRST_FAILURE_STATUS = 500;

    private final Exchange exchange;
    private final UpstreamInstance instance;
    private @Nullable ResponseHead head;
    private @Nullable HttpHeaders headers;
    private @Nullable ByteBuf body;
    private boolean counted;
    private long unread;
    private final int loadSent;
    private boolean ran;
    private boolean paused;
    private int ticksWithoutEvent;
    private long eventMillis = -1;

    SendAttempt(Exchange exchange, UpstreamInstance instance) {
        this.exchange = exchange;
        this.instance = instance;
        this.loadSent = exchange.desk().view().instances().load(instance.id());
    }

    /** Counts the request at the instance. */
    void begin() {
        counted = true;
        exchange.desk().silence().begin(instance.id(), this);
        unread = exchange.prompt().tokens();
        state().ifPresent(state -> {
            state.requestSent();
            state.prefillStarted(unread);
        });
        target().ifPresent(target -> exchange.desk().runs(target, 1));
    }

    /** The instance has answered or the send has ended: the prompt no longer keeps others from being read. */
    private void promptRead() {
        if (unread > 0) {
            long tokens = unread;
            unread = 0;
            state().ifPresent(state -> state.prefillEnded(tokens));
            exchange.desk().offerSoon();
        }
    }

    /** Ends the count and releases what was kept of the answer. */
    void close() {
        if (counted) {
            counted = false;
            promptRead();
            exchange.desk().silence().end(instance.id(), this);
            state().ifPresent(InstanceState::requestEnded);
            target().ifPresent(target -> exchange.desk().runs(target, -1));
        }
        takeBody().release();
    }

    /** Counts the run once, though both the head and the end of an answer may tell of it. */
    private void mayHaveRun() {
        if (!ran) {
            ran = true;
            exchange.mayHaveRun();
        }
    }

    private Optional<InstanceState> state() {
        return exchange.desk().view().instances().state(instance.id());
    }

    /** Returns whether events of a stream are due from the instance, and its caller takes them. */
    boolean streams() {
        return head != null && body == null && !paused;
    }

    /** Notes whether the instance is not read because the caller takes nothing. */
    void paused(boolean isPaused) {
        paused = isPaused;
        ticksWithoutEvent = 0;
    }

    /** Counts a tick in which no new event came, and returns how many there are in a row. */
    int tickWithoutEvent() {
        return ++ticksWithoutEvent;
    }

    /** The instance or the stream has gone silent; the request goes on elsewhere if another instance can take it. */
    void silent(String reason) {
        if (!exchange.isCurrent(this)) {
            return;
        }
        exchange.reserveMove().ifPresent(other -> {
            mayHaveRun();
            state().ifPresent(state -> state.recordConnectionLoss(Moment.steadyNow()));
            exchange.move(other, reason + " of " + instance.id());
        });
    }

    private Optional<ModelTarget> target() {
        return exchange.target();
    }

    @Override
    public void onHead(ResponseHead answerHead, HttpResponse response) {
        if (!exchange.isCurrent(this)) {
            return;
        }
        exchange.desk().silence().heard(instance.id());
        head = answerHead;
        HttpHeaders passedOn = RequestHeaders.encodeResponse(response.headers());
        headers = passedOn;
        if (!answerHead.notExecuted()) {
            mayHaveRun();
        }
        if (answerHead.success() && (!answerHead.signed() || answerHead.contentEncoded())) {
            fail("unsigned_answer");
        } else if (answerHead.success() && exchange.admitted().route().kind() == RequestKind.STREAMING) {
            beginStream(answerHead.status(), passedOn);
        } else if (exchange.sink().started() && !answerHead.notExecuted()) {
            // A stream that has begun cannot turn into another answer.
            fail("status_" + answerHead.status());
        } else {
            body = Unpooled.buffer();
        }
    }

    private void beginStream(int status, HttpHeaders streamHeaders) {
        state().ifPresent(state -> state.recordCachedPrefixes(exchange.prompt()));
        exchange.stream()
                .ifPresentOrElse(
                        EventStream::resume,
                        () -> exchange.begin(
                                new EventStream(exchange.admitted()
                                        .caller()
                                        .lastEventId()
                                        .orElse(-1)),
                                status,
                                streamHeaders));
    }

    private void fail(String reason) {
        exchange.abandonSend();
        state().ifPresent(state -> state.recordConnectionLoss(Moment.steadyNow()));
        exchange.again(reason + " of " + instance.id());
    }

    @Override
    public void onContent(ByteBuf content) {
        if (!exchange.isCurrent(this)) {
            return;
        }
        promptRead();
        if (body != null) {
            exchange.desk().silence().heard(instance.id());
            if (!exchange.desk().buffer(content.readableBytes())
                    || body.readableBytes() + content.readableBytes() > LARGEST_PLAIN_ANSWER_BYTES) {
                body.writeBytes(content);
                fail("answer_too_large");
                return;
            }
            body.writeBytes(content);
            return;
        }
        exchange.stream().ifPresent(events -> {
            ByteBuf whole = events.take(content);
            if (whole.isReadable()) {
                // Only new events are a sign of life: an instance in trouble may send bytes without end.
                exchange.desk().silence().heard(instance.id());
                ticksWithoutEvent = 0;
                long now = Moment.steadyNow();
                if (eventMillis >= 0 && !paused) {
                    exchange.desk().view().instances().recordStreamEvent(instance.id(), now - eventMillis, now);
                }
                eventMillis = now;
                exchange.times().event(now);
                exchange.sink().part(whole);
            } else {
                whole.release();
            }
            if (events.overflown()) {
                fail("event_too_large");
            }
        });
    }

    @Override
    public void onComplete() {
        if (!exchange.isCurrent(this)) {
            return;
        }
        ResponseHead answer = head;
        HttpHeaders answerHeaders = headers;
        if (answer == null || answerHeaders == null) {
            fail("no_head");
        } else if (answer.notExecuted()) {
            notRun(answer);
        } else if (body == null && exchange.stream().isPresent()) {
            endStream(exchange.stream().get());
        } else {
            endWhole(answer, answerHeaders);
        }
    }

    private void endWhole(ResponseHead answer, HttpHeaders answerHeaders) {
        boolean failure = answer.status() >= FIRST_FAILURE_STATUS;
        long now = Moment.steadyNow();
        state().ifPresent(failure ? state -> state.recordFailure(now) : state -> state.recordSuccess(now));
        long half = exchange.admitted().route().latencyTargetMillis() / 2;
        // A failure is passed on as it came unless there is time for another instance to do better.
        if (failure && exchange.mayRepeat(half)) {
            exchange.repeatInPlaceOf(answer, answerHeaders, takeBody());
            return;
        }
        ByteBuf whole = takeBody();
        exchange.settleSend();
        exchange.finish();
        exchange.sink().whole(answer.status(), answerHeaders, whole);
    }

    private ByteBuf takeBody() {
        ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        exchange.desk().buffer(-whole.readableBytes());
        return whole;
    }

    private void endStream(EventStream events) {
        if (!events.atBoundary()) {
            fail("ended_within_event");
            return;
        }
        state().ifPresent(state -> state.recordSuccess(Moment.steadyNow()));
        if (exchange.times().late(exchange.admitted().route())) {
            logLate();
        }
        exchange.settleSend();
        exchange.finish();
        exchange.sink().end();
    }

    private void logLate() {
        InstanceTable instances = exchange.desk().view().instances();
        exchange.desk()
                .log()
                .decided(
                        "late",
                        "request={} route={} target={} instance={} first_ms={} pause_ms={} sends={} load_sent={} load={}",
                        exchange.admitted().caller().id(),
                        exchange.admitted().route().name(),
                        target().map(ModelTarget::toString).orElse("-"),
                        instance.id(),
                        exchange.times().firstDelayMillis(),
                        exchange.times().longestPauseMillis(),
                        exchange.sends(),
                        loadSent,
                        instances.load(instance.id()));
    }

    private void notRun(ResponseHead answer) {
        long now = Moment.steadyNow();
        state().ifPresent(state -> {
            if (answer.misdirected() && target().isPresent()) {
                state.recordMissingTarget(target().get(), now);
            } else {
                state.recordFailure(now);
            }
        });
        exchange.settleSend();
        if (answer.misdirected()) {
            exchange.mayTryAgain(instance.id());
        }
        exchange.again("not_run_" + answer.status() + " of " + instance.id());
    }

    @Override
    public void onFailure(FailureKind how, String reason) {
        if (!exchange.isCurrent(this)) {
            return;
        }
        exchange.settleSend();
        long now = Moment.steadyNow();
        if (how == FailureKind.NOT_SENT) {
            state().ifPresent(state -> state.recordUnreachable(now));
            exchange.notSent();
            return;
        }
        mayHaveRun();
        state().ifPresent(state -> state.recordConnectionLoss(now));
        exchange.again(reason + " of " + instance.id());
    }
}
