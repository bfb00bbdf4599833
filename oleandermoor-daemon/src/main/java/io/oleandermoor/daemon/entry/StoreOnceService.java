package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.IdempotencyDecider;
import io.oleandermoor.state.ledger.IdempotencyDecision;
import io.oleandermoor.state.ledger.IdempotencyReadResult;
import io.oleandermoor.state.ledger.IdempotencyRecord;
import io.oleandermoor.state.ledger.IdempotencyWriteResult;
import io.oleandermoor.state.ledger.KeyedCall;
import io.oleandermoor.transport.log.LogEvent;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Keeps the records of non-repeatable calls in the key-value service. */
final class StoreOnceService implements OnceService {

    private static final Logger LOGGER = LogManager.getLogger(StoreOnceService.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads and writes for one decision; each conflict means that another entry has moved the record on. */
    private static final int MAXIMUM_STEPS = 6;

    private final KeyValueStore store;

    private final IdempotencyDecider decider;

    StoreOnceService(KeyValueStore store, IdempotencyDecider decider) {
        this.store = store;
        this.decider = decider;
    }

    @Override
    public void begin(String key, KeyedCall call, Consumer<IdempotencyDecision> answer) {
        read(key, call, MAXIMUM_STEPS, answer);
    }

    @Override
    public void end(String key, KeyedCall call, AttemptDecision.Reply reply, Runnable done) {
        Optional<IdempotencyRecord> record = decider.afterReply(call, reply);
        if (record.isEmpty()) {
            done.run();
            return;
        }
        var unused = store.get(key)
                .flatMap(current -> replaceOwn(key, call, current, record.get()))
                .retry(2)
                .subscribe(written -> done.run(), failure -> {
                    // Without the record a repeat learns that the outcome is unknown; it never runs again.
                    LogEvent.of("once_record_not_written")
                            .with("request", call.attemptId())
                            .with("reason", failure.getMessage())
                            .warn(LOGGER);
                    done.run();
                });
    }

    private Single<Boolean> replaceOwn(
            String key, KeyedCall call, Optional<VersionedValue> current, IdempotencyRecord next) throws IOException {
        if (current.isEmpty()) {
            return Single.just(false);
        }
        IdempotencyRecord known = MAPPER.readValue(current.get().value(), IdempotencyRecord.class);
        if (!known.attemptId().equals(call.attemptId()) || !(known instanceof IdempotencyRecord.Started)) {
            return Single.just(false);
        }
        return store.compareAndSet(key, current.get().revision(), write(next), Optional.empty())
                .map(result -> result.applied());
    }

    private void read(String key, KeyedCall call, int steps, Consumer<IdempotencyDecision> answer) {
        if (steps == 0) {
            answer.accept(new IdempotencyDecision.RefuseNotRun());
            return;
        }
        var unused = store.get(key)
                .map(StoreOnceService::toRead)
                .onErrorReturnItem(new IdempotencyReadResult.Unavailable())
                .subscribe(read ->
                        carryOut(key, call, steps, decider.afterRead(call, read, System.currentTimeMillis()), answer));
    }

    private void carryOut(
            String key, KeyedCall call, int steps, IdempotencyDecision decision, Consumer<IdempotencyDecision> answer) {
        if (decision instanceof IdempotencyDecision.Create create) {
            write(key, call, steps, KeyValueStore.ABSENT, create.record(), answer);
        } else if (decision instanceof IdempotencyDecision.Replace replace) {
            write(key, call, steps, replace.version(), replace.record(), answer);
        } else if (decision instanceof IdempotencyDecision.ReadBack) {
            read(key, call, steps - 1, answer);
        } else {
            answer.accept(decision);
        }
    }

    private void write(
            String key,
            KeyedCall call,
            int steps,
            long revision,
            IdempotencyRecord record,
            Consumer<IdempotencyDecision> answer) {
        var unused = store.compareAndSet(key, revision, write(record), Optional.empty())
                .map(result -> result.applied() ? IdempotencyWriteResult.APPLIED : IdempotencyWriteResult.CONFLICT)
                .onErrorReturnItem(IdempotencyWriteResult.ANSWER_LOST)
                .subscribe(result -> carryOut(key, call, steps, decider.afterWrite(result), answer));
    }

    private static IdempotencyReadResult toRead(Optional<VersionedValue> value) throws IOException {
        return value.isEmpty()
                ? new IdempotencyReadResult.Absent()
                : new IdempotencyReadResult.Present(
                        MAPPER.readValue(value.get().value(), IdempotencyRecord.class),
                        value.get().revision());
    }

    private static byte[] write(IdempotencyRecord record) {
        try {
            return MAPPER.writerFor(IdempotencyRecord.class).writeValueAsBytes(record);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a record can always be written as JSON", exception);
        }
    }
}
