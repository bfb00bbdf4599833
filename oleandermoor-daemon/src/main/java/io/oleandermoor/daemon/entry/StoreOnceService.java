package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.OnceCall;
import io.oleandermoor.state.ledger.OnceDecider;
import io.oleandermoor.state.ledger.OnceDecision;
import io.oleandermoor.state.ledger.OnceRead;
import io.oleandermoor.state.ledger.OnceRecord;
import io.oleandermoor.state.ledger.OnceWrite;
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

    private final OnceDecider decider;

    StoreOnceService(KeyValueStore store, OnceDecider decider) {
        this.store = store;
        this.decider = decider;
    }

    @Override
    public void begin(String key, OnceCall call, Consumer<OnceDecision> answer) {
        read(key, call, MAXIMUM_STEPS, answer);
    }

    @Override
    public void end(String key, OnceCall call, AttemptDecision.Reply reply, Runnable done) {
        Optional<OnceRecord> record = decider.afterReply(call, reply);
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

    private Single<Boolean> replaceOwn(String key, OnceCall call, Optional<VersionedValue> current, OnceRecord next)
            throws IOException {
        if (current.isEmpty()) {
            return Single.just(false);
        }
        OnceRecord known = MAPPER.readValue(current.get().value(), OnceRecord.class);
        if (!known.attemptId().equals(call.attemptId()) || !(known instanceof OnceRecord.Started)) {
            return Single.just(false);
        }
        return store.compareAndSet(key, current.get().revision(), write(next), Optional.empty())
                .map(result -> result.applied());
    }

    private void read(String key, OnceCall call, int steps, Consumer<OnceDecision> answer) {
        if (steps == 0) {
            answer.accept(new OnceDecision.RefuseNotRun());
            return;
        }
        var unused = store.get(key)
                .map(StoreOnceService::toRead)
                .onErrorReturnItem(new OnceRead.Unavailable())
                .subscribe(read ->
                        carryOut(key, call, steps, decider.afterRead(call, read, System.currentTimeMillis()), answer));
    }

    private void carryOut(String key, OnceCall call, int steps, OnceDecision decision, Consumer<OnceDecision> answer) {
        if (decision instanceof OnceDecision.Create create) {
            write(key, call, steps, KeyValueStore.ABSENT, create.record(), answer);
        } else if (decision instanceof OnceDecision.Replace replace) {
            write(key, call, steps, replace.version(), replace.record(), answer);
        } else if (decision instanceof OnceDecision.ReadBack) {
            read(key, call, steps - 1, answer);
        } else {
            answer.accept(decision);
        }
    }

    private void write(
            String key, OnceCall call, int steps, long revision, OnceRecord record, Consumer<OnceDecision> answer) {
        var unused = store.compareAndSet(key, revision, write(record), Optional.empty())
                .map(result -> result.applied() ? OnceWrite.APPLIED : OnceWrite.CONFLICT)
                .onErrorReturnItem(OnceWrite.ANSWER_LOST)
                .subscribe(result -> carryOut(key, call, steps, decider.afterWrite(result), answer));
    }

    private static OnceRead toRead(Optional<VersionedValue> value) throws IOException {
        return value.isEmpty()
                ? new OnceRead.Absent()
                : new OnceRead.Present(
                        MAPPER.readValue(value.get().value(), OnceRecord.class),
                        value.get().revision());
    }

    private static byte[] write(OnceRecord record) {
        try {
            return MAPPER.writerFor(OnceRecord.class).writeValueAsBytes(record);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a record can always be written as JSON", exception);
        }
    }
}
