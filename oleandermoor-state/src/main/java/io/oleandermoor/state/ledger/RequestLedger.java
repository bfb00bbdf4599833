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
 * Tracks the attempts that an agent has received and decides how the agent handles each message about them. An attempt
 * starts at most once, and an attempt that was reported as not run never starts. Thread-safe; the lock has level 7 in
 * the lock order.
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
     * @param settings the limits of the ledger
     */
    public RequestLedger(LedgerSettings settings) {
        this.settings = settings;
    }

    /**
     * Registers an attempt that an entry has dispatched, unless it is already known.
     *
     * @param key the key of the attempt
     * @param repeatable whether the call may run more than once
     * @param entry the entry that sent the attempt
     * @param resumeOffset the number of tokens that the caller has already received
     * @param nowMillis the current time, in milliseconds
     * @return how the agent handles the attempt
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
     * Marks a waiting attempt as running. The caller may send the attempt to the upstream only if this method returns
     * true.
     *
     * @param key the key of the attempt
     * @return true if the attempt was waiting; false if it was cancelled, has already started or is unknown
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
     * Refuses a waiting attempt, so that it never starts.
     *
     * @param key the key of the attempt
     * @param reason the reason why the attempt does not run
     * @param nowMillis the current time, in milliseconds
     * @return true if the attempt did not run and never will; false if it has started or is unknown
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
     * Marks a running attempt as not run after the upstream has confirmed that it did not start it: no connection could
     * be opened, or the model is not loaded at the upstream. An attempt that has already produced a chunk did start,
     * and its state does not change.
     *
     * @param key the key of the attempt
     * @param reason the reason why the attempt does not run
     * @param nowMillis the current time, in milliseconds
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
     * Buffers a chunk that the upstream produced for a running attempt.
     *
     * @param key the key of the attempt
     * @param chunk the chunk to append
     * @return true if the chunk must be forwarded: it is the next chunk of a running attempt and the entry is connected
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
     * Marks a running attempt as finished and keeps its result for replay.
     *
     * @param key the key of the attempt
     * @param result the result of the attempt
     * @param nowMillis the current time, in milliseconds
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
     * Marks the outcome of a running attempt as unknown: the upstream did not answer, and the call may or may not have
     * taken effect.
     *
     * @param key the key of the attempt
     * @param nowMillis the current time, in milliseconds
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
     * Handles the request of an entry to cancel an attempt. An attempt that was never received is recorded as not run
     * and refused if it arrives later.
     *
     * @param key the key of the attempt
     * @param nowMillis the current time, in milliseconds
     * @return how the agent handles the cancellation
     */
    public CancelDecision cancel(AttemptKey key, long nowMillis) {
        synchronized (lock) {
            AttemptRecord record = records.get(key);
            if (record == null) {
                boolean recorded = recordNotRun(key, NotRunReason.CANCELLED_BEFORE_START, nowMillis);
                return recorded ? CancelDecision.NOT_RUN : CancelDecision.NOTHING;
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
     * Returns the state of an attempt. An attempt that was never received is recorded as not run and refused if it
     * arrives later.
     *
     * @param key the key of the attempt
     * @param nowMillis the current time, in milliseconds
     * @return the state; UNKNOWN if the attempt was never received and the ledger is too full to record it
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
     * Attaches an entry to an attempt over a new connection. An attempt that was never received is recorded as not run
     * and refused if it arrives later.
     *
     * @param key the key of the attempt
     * @param offset the number of tokens that the entry has received
     * @param entry the entry that attaches
     * @param nowMillis the current time, in milliseconds
     * @return the buffered part of the answer to send, or the state if the answer cannot be continued
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
     * Marks the unfinished attempts of an entry as detached after the connection to the entry was lost.
     *
     * @param entry the entry whose connection was lost
     * @param nowMillis the current time, in milliseconds
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
     * Removes attempts whose retention time has ended, and ends detached attempts whose entry did not attach again in
     * time: waiting attempts are cancelled here, and running repeatable attempts are returned. An agent calls this
     * method several times per second.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the running attempts to stop at the upstream
     */
    public List<AttemptKey> expire(long nowMillis) {
        synchronized (lock) {
            removeExpired(nowMillis);
            return expireDetached(nowMillis);
        }
    }

    /**
     * Returns the number of attempts in the ledger.
     *
     * @return the number of attempt records
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
        List<AttemptKey> attemptsToStop = new ArrayList<>();
        for (AttemptRecord record : List.copyOf(detachedRecords)) {
            if (nowMillis - record.detachedAtMillis < settings.reattachTimeoutMillis()) {
                break;
            }
            detachedRecords.remove(record);
            if (record.state == AttemptState.WAITING) {
                endNotRun(record, NotRunReason.CANCELLED_BEFORE_START, nowMillis);
            } else if (record.state == AttemptState.RUNNING && record.repeatable) {
                attemptsToStop.add(record.key);
            }
        }
        return attemptsToStop;
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
