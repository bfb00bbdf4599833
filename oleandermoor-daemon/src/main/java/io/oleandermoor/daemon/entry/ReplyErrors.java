package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.ledger.AttemptDecision.Reply;
import io.oleandermoor.state.ledger.IdempotencyDecision;
import io.oleandermoor.state.ledger.Outcome;
import java.util.OptionalLong;

/** Turns the end of a request without a complete answer into the error that the caller sees. */
final class ReplyErrors {

    /** Time after which a call that waits for the key-value service may be repeated. */
    private static final long STORE_RETRY_MILLIS = 1_000;

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private ReplyErrors() {}

    static CallerError of(Reply reply, boolean repeatable) {
        if (reply.outcome() == Outcome.NOT_RUN) {
            return notRun(reply);
        }
        if (!repeatable) {
            return CallerError.unknown(
                    409, "outcome_unknown", "the call may have taken effect; its answer was not received");
        }
        return switch (reply.reason()) {
            case DEADLINE -> CallerError.unknown(504, "deadline", "the answer was not complete in time");
            case NO_UPSTREAM, REFUSED ->
                CallerError.unknown(503, "interrupted", "no upstream is left to complete the answer");
            default -> CallerError.unknown(502, "upstream_failed", "the upstream did not complete the answer");
        };
    }

    private static CallerError notRun(Reply reply) {
        CallerError error = switch (reply.reason()) {
            case DEADLINE -> CallerError.notRun(504, "deadline", "the request could not start in time");
            case REFUSED -> CallerError.notRun(503, "busy", "no upstream accepted the request");
            default -> CallerError.notRun(503, "unavailable", "no upstream is ready for the request");
        };
        long retryAfterMillis = reply.retryAfterMillis() > 0 ? reply.retryAfterMillis() : DEFAULT_RETRY_AFTER_MILLIS;
        return error.retryAfter(retryAfterMillis);
    }

    /** Returns the refusal for a call whose idempotency key does not permit to run it. */
    static CallerError of(IdempotencyDecision decision) {
        if (decision instanceof IdempotencyDecision.InProgress) {
            return new CallerError(
                            409,
                            "in_progress",
                            "a call with this idempotency key is in progress",
                            "unknown",
                            OptionalLong.empty())
                    .retryAfter(STORE_RETRY_MILLIS);
        }
        if (decision instanceof IdempotencyDecision.OutcomeUnknown) {
            return CallerError.unknown(
                    409, "outcome_unknown", "an earlier call with this idempotency key may have taken effect");
        }
        if (decision instanceof IdempotencyDecision.RefuseOtherBody) {
            return CallerError.notRun(
                    422, "idempotency_key_reused", "the idempotency key was used with another request");
        }
        return CallerError.notRun(503, "store_unavailable", "the call cannot be recorded, so it was not started")
                .retryAfter(STORE_RETRY_MILLIS);
    }
}
