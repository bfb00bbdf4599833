package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.IdempotencyDecision;
import io.oleandermoor.state.ledger.KeyedCall;
import java.util.function.Consumer;

/** Keeps the records of non-repeatable calls with an idempotency key. Safe for use by several threads. */
interface OnceService {

    /**
     * Decides whether a call may run.
     *
     * @param key name of the record
     * @param call the call
     * @param answer receives run, replay or a refusal, once
     */
    void begin(String key, KeyedCall call, Consumer<IdempotencyDecision> answer);

    /**
     * Records what became of a call that was allowed to run. The caller is answered after that.
     *
     * @param key name of the record
     * @param call the call
     * @param reply what the caller is told
     * @param done called when the record is written, or could not be written in time
     */
    void end(String key, KeyedCall call, AttemptDecision.Reply reply, Runnable done);
}
