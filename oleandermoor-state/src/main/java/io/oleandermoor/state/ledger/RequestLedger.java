package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Remembers the attempts that an agent has seen and decides what each message about them means. It guarantees that an
 * attempt starts at most once, and that one reported as not run never starts. Safe for use by several threads; its lock
 * has place 7 in the lock order.
 */
public final class RequestLedger {

    private final Object lock = new Object();
    private final LedgerSettings settings;
    private final Map<AttemptKey, AttemptRecord> records = new HashMap<>();
    private final ArrayDeque<AttemptRecord> endedRecords = new ArrayDeque<>();
    private final ArrayDeque<AttemptRecord> replayableRecords = new ArrayDeque<>();
    private final LinkedHashSet<AttemptRecord> detachedRecords = new LinkedHashSet<>();
    private int activeAttempts;
    private long bufferedBytes;

    /**
     * Creates an empty ledger.
     *
     * @param settings the limits
     */
    public RequestLedger(LedgerSettings settings) {
        this.settings = settings;
    }

    /**
     * Takes a dispatched attempt.
     *
     * @param key the attempt
     * @param repeatable whether the call may run more than once
     * @param entry the entry that sent it
     * @param resumeOffset number of tokens that the caller has already
     * @param nowMillis the time in milliseconds
     * @return what to do
     */
    public DispatchDecision dispatch(
            AttemptKey key, boolean repeatable, InstanceId entry, int resumeOffset, long nowMillis) {
        synchronized (lock) {
            removeExpired(nowMillis);
            AttemptRecord known = records.get(key);
            if (known != null) {
                return known.state == AttemptState.NOT_RUN
                        ? new DispatchDecision.Refuse(known.reason)
                        : new DispatchDecision.Duplicate(known.state);
            }
            if (records.size() >= settings.maximumRecords()) {
                return new DispatchDecision.Ignore();
            }
            AttemptRecord record = new AttemptRecord(key, repeatable, AttemptState.WAITING, resumeOffset);
            record.entry = entry;
            records.put(key, record);
            activeAttempts++;
            if (activeAttempts > settings.maximumActiveAttempts()) {
                endNotRun(record, NotRunReason.BUSY, nowMillis);
                return new DispatchDecision.Refuse(NotRunReason.BUSY);
            }
            return new DispatchDecision.Admit();
        }
    }

    /**
     * Asks whether a waiting attempt may be sent to the upstream now. After true it counts as running.
     *
     * @param key the attempt
     * @return true if it must be sent; false if it was cancelled or has started already
     */
    public boolean tryStart(AttemptKey key) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null || record.state != AttemptState.WAITING) {
                return false;
            }
            record.state = AttemptState.RUNNING;
            return true;
        }
    }

    /**
     * Gives up a waiting attempt.
     *
     * @param key the attempt
     * @param reason why it does not run
     * @param nowMillis the time in milliseconds
     * @return true if the attempt did not run and never will; false if it has started, or is unknown
     */
    public boolean refuse(AttemptKey key, NotRunReason reason, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record != null && record.state == AttemptState.WAITING) {
                endNotRun(record, reason, nowMillis);
            }
            return record != null && record.state == AttemptState.NOT_RUN;
        }
    }

    /**
     * Takes the upstream's confirmation that it did not start a running attempt: no connection could be opened, or the
     * upstream does not hold the model. A sent chunk proves the contrary, so the attempt then stays as it is.
     *
     * @param key the attempt
     * @param reason why it does not run
     * @param nowMillis the time in milliseconds
     * @return true if the attempt did not run and never will
     */
    public boolean markNotStarted(AttemptKey key, NotRunReason reason, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null || record.state != AttemptState.RUNNING || record.hasChunks()) {
                return false;
            }
            endNotRun(record, reason, nowMillis);
            return true;
        }
    }

    /**
     * Takes a chunk of a running attempt.
     *
     * @param key the attempt
     * @param chunk the chunk
     * @return true if it is the next chunk of a running attempt and its entry is connected, so that it is sent on
     */
    public boolean append(AttemptKey key, TextChunk chunk) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null || record.state != AttemptState.RUNNING || chunk.offset() != record.nextOffset()) {
                return false;
            }
            bufferedBytes += record.appendChunk(chunk, settings.maximumBytesPerAttempt());
            evictOldestReplays();
            return record.detachedAtMillis == AttemptRecord.ATTACHED;
        }
    }

    /**
     * Takes the end of a running attempt.
     *
     * @param key the attempt
     * @param result the result
     * @param nowMillis the time in milliseconds
     * @return true if the attempt was running
     */
    public boolean finish(AttemptKey key, AttemptResult result, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null || record.state != AttemptState.RUNNING) {
                return false;
            }
            bufferedBytes += record.setResult(result, settings.maximumBytesPerAttempt());
            end(record, AttemptState.FINISHED, nowMillis);
            if (!record.replayDropped) {
                replayableRecords.add(record);
            }
            evictOldestReplays();
            return true;
        }
    }

    /**
     * Takes the loss of a running attempt: the upstream gave no answer, and the call may or may not have taken effect.
     *
     * @param key the attempt
     * @param nowMillis the time in milliseconds
     * @return true if the attempt was running
     */
    public boolean markOutcomeUnknown(AttemptKey key, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null || record.state != AttemptState.RUNNING) {
                return false;
            }
            bufferedBytes += record.dropReplay();
            end(record, AttemptState.UNKNOWN, nowMillis);
            return true;
        }
    }

    /**
     * Takes the wish of an entry to stop an attempt. An attempt never seen is refused from then on.
     *
     * @param key the attempt
     * @param nowMillis the time in milliseconds
     * @return what to do
     */
    public CancelDecision cancel(AttemptKey key, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null) {
                boolean remembered = recordNotRun(key, NotRunReason.CANCELLED_BEFORE_START, nowMillis);
                return remembered ? CancelDecision.NOT_RUN : CancelDecision.NOTHING;
            }
            return switch (record.state) {
                case WAITING -> {
                    endNotRun(record, NotRunReason.CANCELLED_BEFORE_START, nowMillis);
                    yield CancelDecision.NOT_RUN;
                }
                case NOT_RUN -> CancelDecision.NOT_RUN;
                case RUNNING -> record.repeatable ? CancelDecision.STOP : CancelDecision.CONTINUE;
                case FINISHED, UNKNOWN -> CancelDecision.NOTHING;
            };
        }
    }

    /**
     * Answers what became of an attempt. One never seen is refused from then on.
     *
     * @param key the attempt
     * @param nowMillis the time in milliseconds
     * @return the state; UNKNOWN if an attempt never seen cannot be remembered because the ledger is full
     */
    public AttemptState query(AttemptKey key, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record != null) {
                return record.state;
            }
            return recordNotRun(key, NotRunReason.NEVER_SEEN, nowMillis) ? AttemptState.NOT_RUN : AttemptState.UNKNOWN;
        }
    }

    /**
     * Continues an attempt on a new connection of an entry. One never seen is refused from then on.
     *
     * @param key the attempt
     * @param offset number of tokens that the entry has
     * @param entry the entry
     * @param nowMillis the time in milliseconds
     * @return what to send
     */
    public AttachDecision attach(AttemptKey key, int offset, InstanceId entry, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null) {
                return new AttachDecision.Unavailable(query(key, nowMillis));
            }
            if (record.state == AttemptState.NOT_RUN || record.state == AttemptState.UNKNOWN) {
                return new AttachDecision.Unavailable(record.state);
            }
            List<TextChunk> chunks = record.chunksFrom(offset);
            if (chunks == null) {
                return new AttachDecision.Unavailable(record.state);
            }
            record.entry = entry;
            record.detachedAtMillis = AttemptRecord.ATTACHED;
            detachedRecords.remove(record);
            return new AttachDecision.Replay(record.state, chunks, Optional.ofNullable(record.result));
        }
    }

    /**
     * Notes that the connection to an entry was lost.
     *
     * @param entry the entry
     * @param nowMillis the time in milliseconds
     */
    public void connectionLost(InstanceId entry, long nowMillis) {
        synchronized (lock) {
            for (AttemptRecord record : records.values()) {
                if (!record.state.isFinal()
                        && record.detachedAtMillis == AttemptRecord.ATTACHED
                        && entry.equals(record.entry)) {
                    record.detachedAtMillis = nowMillis;
                    detachedRecords.add(record);
                }
            }
        }
    }

    /**
     * Forgets attempts whose retention has ended and finds repeatable work whose entry did not attach again. Waiting
     * work among it is given up here. An agent calls this several times a second.
     *
     * @param nowMillis the time in milliseconds
     * @return running attempts to stop at the upstream
     */
    public List<AttemptKey> expire(long nowMillis) {
        synchronized (lock) {
            removeExpired(nowMillis);
            return expireDetached(nowMillis);
        }
    }

    /**
     * Returns the number of attempts that are remembered.
     *
     * @return the number of records
     */
    public int size() {
        synchronized (lock) {
            return records.size();
        }
    }

    private void removeExpired(long nowMillis) {
        AttemptRecord oldest = endedRecords.peekFirst();
        while (oldest != null && nowMillis - oldest.endedAtMillis >= settings.retentionMillis()) {
            endedRecords.removeFirst();
            bufferedBytes += oldest.dropReplay();
            records.remove(oldest.key);
            oldest = endedRecords.peekFirst();
        }
    }

    private List<AttemptKey> expireDetached(long nowMillis) {
        List<AttemptKey> stop = new ArrayList<>();
        for (AttemptRecord record : List.copyOf(detachedRecords)) {
            if (nowMillis - record.detachedAtMillis < settings.reattachTimeoutMillis()) {
                break;
            }
            detachedRecords.remove(record);
            if (record.state == AttemptState.WAITING) {
                endNotRun(record, NotRunReason.CANCELLED_BEFORE_START, nowMillis);
            } else if (record.state == AttemptState.RUNNING && record.repeatable) {
                stop.add(record.key);
            }
        }
        return stop;
    }

    private boolean recordNotRun(AttemptKey key, NotRunReason reason, long nowMillis) {
        if (records.size() >= settings.maximumRecords()) {
            return false;
        }
        AttemptRecord record = new AttemptRecord(key, false, AttemptState.WAITING, 0);
        records.put(key, record);
        activeAttempts++;
        endNotRun(record, reason, nowMillis);
        return true;
    }

    private void endNotRun(AttemptRecord record, NotRunReason reason, long nowMillis) {
        record.reason = reason;
        end(record, AttemptState.NOT_RUN, nowMillis);
    }

    private void end(AttemptRecord record, AttemptState state, long nowMillis) {
        record.state = state;
        record.endedAtMillis = nowMillis;
        detachedRecords.remove(record);
        endedRecords.add(record);
        activeAttempts--;
    }

    private void evictOldestReplays() {
        @Nullable AttemptRecord oldest = replayableRecords.peekFirst();
        while (oldest != null && (bufferedBytes > settings.maximumBytes() || oldest.replayDropped)) {
            replayableRecords.removeFirst();
            bufferedBytes += oldest.dropReplay();
            oldest = replayableRecords.peekFirst();
        }
    }
}
