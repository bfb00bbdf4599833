package io.oleandermoor.protocol.mapping;

import com.google.protobuf.ByteString;
import io.oleandermoor.protocol.message.Attach;
import io.oleandermoor.protocol.message.AttachFailed;
import io.oleandermoor.protocol.message.Cancel;
import io.oleandermoor.protocol.message.Chunk;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Finished;
import io.oleandermoor.protocol.message.Header;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.protocol.message.NotRun;
import io.oleandermoor.protocol.message.Query;
import io.oleandermoor.protocol.message.QueryResult;
import io.oleandermoor.protocol.message.RequestKey;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.AttemptState;
import io.oleandermoor.state.ledger.Body;
import io.oleandermoor.state.ledger.FinishReason;
import io.oleandermoor.state.ledger.HeaderField;
import io.oleandermoor.state.ledger.NotRunReason;
import io.oleandermoor.state.ledger.TextChunk;
import java.util.HexFormat;
import java.util.List;

/** Converts messages about attempts. */
public final class AttemptMessages {

    private AttemptMessages() {}

    /**
     * Returns the fingerprint of a request's content.
     *
     * @param dispatch the request
     * @return hexadecimal digits
     */
    public static String fingerprint(Dispatch dispatch) {
        return HexFormat.of().formatHex(dispatch.getFingerprint().toByteArray());
    }

    /**
     * Converts the identity of an attempt.
     *
     * @param key the attempt
     * @return its message
     */
    public static RequestKey toMessage(AttemptKey key) {
        return RequestKey.newBuilder()
                .setHigh(key.request().high())
                .setLow(key.request().low())
                .setAttempt(key.attempt())
                .build();
    }

    /**
     * Converts the identity of an attempt.
     *
     * @param key the message
     * @return the attempt
     */
    public static AttemptKey fromMessage(RequestKey key) {
        return new AttemptKey(new RequestId(key.getHigh(), key.getLow()), Math.max(1, key.getAttempt()));
    }

    /**
     * Creates a message with a part of an answer.
     *
     * @param key the attempt
     * @param chunk the part
     * @return the message
     */
    public static Envelope chunk(AttemptKey key, TextChunk chunk) {
        return Envelope.newBuilder()
                .setChunk(Chunk.newBuilder()
                        .setKey(toMessage(key))
                        .setOffset(chunk.offset())
                        .setTokens(chunk.tokens())
                        .setText(chunk.text()))
                .build();
    }

    /**
     * Converts a part of an answer.
     *
     * @param chunk the message, with at least one token
     * @return the part
     */
    public static TextChunk fromMessage(Chunk chunk) {
        return new TextChunk(chunk.getOffset(), Math.max(1, chunk.getTokens()), chunk.getText());
    }

    /**
     * Creates a message with the end of an attempt.
     *
     * @param key the attempt
     * @param result the end
     * @param promptTokens tokens of the prompt, 0 if unknown
     * @param load the load of the upstream
     * @return the message
     */
    public static Envelope finished(AttemptKey key, AttemptResult result, long promptTokens, Load load) {
        Finished.Builder finished = Finished.newBuilder()
                .setKey(toMessage(key))
                .setReason(io.oleandermoor.protocol.message.FinishReason.valueOf(
                        result.reason().name()))
                .setStatus(result.status())
                .setBody(ByteString.copyFrom(result.body().bytes()))
                .setPromptTokens((int) Math.min(Integer.MAX_VALUE, Math.max(0, promptTokens)))
                .setGeneratedTokens(result.endOffset())
                .setLoad(load);
        for (HeaderField header : result.headers()) {
            finished.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
        }
        return Envelope.newBuilder().setFinished(finished).build();
    }

    /**
     * Converts the end of an attempt.
     *
     * @param finished the message
     * @return the end
     */
    public static AttemptResult fromMessage(Finished finished) {
        List<HeaderField> headers = finished.getHeadersList().stream()
                .map(header -> new HeaderField(header.getName(), header.getValue()))
                .toList();
        FinishReason reason = switch (finished.getReason()) {
            case COMPLETE -> FinishReason.COMPLETE;
            case LENGTH -> FinishReason.LENGTH;
            case CANCELLED -> FinishReason.CANCELLED;
            case DEADLINE -> FinishReason.DEADLINE;
            case UPSTREAM_CRASHED -> FinishReason.UPSTREAM_CRASHED;
            case MOVED -> FinishReason.MOVED;
            default -> FinishReason.UPSTREAM_FAILED;
        };
        return new AttemptResult(
                reason,
                finished.getStatus(),
                headers,
                Body.of(finished.getBody().toByteArray()),
                finished.getGeneratedTokens());
    }

    /**
     * Creates a message that an attempt did not run and never will.
     *
     * @param key the attempt
     * @param reason why
     * @param retryAfterMillis time after which it may run, in milliseconds, 0 if unknown
     * @param load the load of the upstream
     * @return the message
     */
    public static Envelope notRun(AttemptKey key, NotRunReason reason, long retryAfterMillis, Load load) {
        io.oleandermoor.protocol.message.NotRunReason code = reason == NotRunReason.UNSPECIFIED
                ? io.oleandermoor.protocol.message.NotRunReason.UNKNOWN_REASON
                : io.oleandermoor.protocol.message.NotRunReason.valueOf(reason.name());
        return Envelope.newBuilder()
                .setNotRun(NotRun.newBuilder()
                        .setKey(toMessage(key))
                        .setReason(code)
                        .setRetryAfterMillis((int) Math.min(Integer.MAX_VALUE, retryAfterMillis))
                        .setLoad(load))
                .build();
    }

    /**
     * Converts the reason why an attempt did not run.
     *
     * @param reason the message
     * @return the reason
     */
    public static NotRunReason fromMessage(io.oleandermoor.protocol.message.NotRunReason reason) {
        return switch (reason) {
            case UNKNOWN_REASON, UNRECOGNIZED -> NotRunReason.UNSPECIFIED;
            default -> NotRunReason.valueOf(reason.name());
        };
    }

    /**
     * Creates a message that cancels an attempt.
     *
     * @param key the attempt
     * @return the message
     */
    public static Envelope cancel(AttemptKey key) {
        return Envelope.newBuilder()
                .setCancel(Cancel.newBuilder().setKey(toMessage(key)))
                .build();
    }

    /**
     * Creates a message that asks what became of an attempt.
     *
     * @param key the attempt
     * @return the message
     */
    public static Envelope query(AttemptKey key) {
        return Envelope.newBuilder()
                .setQuery(Query.newBuilder().setKey(toMessage(key)))
                .build();
    }

    /**
     * Creates the answer to a query.
     *
     * @param key the attempt
     * @param state its state
     * @return the message
     */
    public static Envelope queryResult(AttemptKey key, AttemptState state) {
        return Envelope.newBuilder()
                .setQueryResult(QueryResult.newBuilder().setKey(toMessage(key)).setState(toMessage(state)))
                .build();
    }

    /**
     * Creates a message that asks to continue an answer on this connection.
     *
     * @param key the attempt
     * @param offset number of tokens that the entry has
     * @return the message
     */
    public static Envelope attach(AttemptKey key, int offset) {
        return Envelope.newBuilder()
                .setAttach(Attach.newBuilder().setKey(toMessage(key)).setOffset(offset))
                .build();
    }

    /**
     * Creates a message that an answer cannot be continued.
     *
     * @param key the attempt
     * @param state its state
     * @return the message
     */
    public static Envelope attachFailed(AttemptKey key, AttemptState state) {
        return Envelope.newBuilder()
                .setAttachFailed(
                        AttachFailed.newBuilder().setKey(toMessage(key)).setState(toMessage(state)))
                .build();
    }

    /**
     * Converts the state of an attempt.
     *
     * @param state the message
     * @return the state
     */
    public static AttemptState fromMessage(io.oleandermoor.protocol.message.AttemptState state) {
        return switch (state) {
            case STATE_NOT_RUN -> AttemptState.NOT_RUN;
            case STATE_WAITING -> AttemptState.WAITING;
            case STATE_RUNNING -> AttemptState.RUNNING;
            case STATE_FINISHED -> AttemptState.FINISHED;
            case STATE_UNKNOWN, UNRECOGNIZED -> AttemptState.UNKNOWN;
        };
    }

    private static io.oleandermoor.protocol.message.AttemptState toMessage(AttemptState state) {
        return io.oleandermoor.protocol.message.AttemptState.valueOf("STATE_" + state.name());
    }
}
