package io.oleandermoor.benchmark;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.AttemptEvent;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.AttemptState;
import io.oleandermoor.state.ledger.AttemptTracker;
import io.oleandermoor.state.ledger.Body;
import io.oleandermoor.state.ledger.FinishReason;
import io.oleandermoor.state.ledger.LedgerSettings;
import io.oleandermoor.state.ledger.RequestLedger;
import io.oleandermoor.state.ledger.TextChunk;
import io.oleandermoor.state.ledger.TrackedRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the ledger of an agent with 20,000 remembered attempts, and the tracker of an entry for each chunk. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class LedgerBenchmark {

    private static final int REMEMBERED = 20_000;
    private static final InstanceId ENTRY = new InstanceId("entry");
    private static final AttemptResult RESULT =
            new AttemptResult(FinishReason.COMPLETE, 200, List.of(), Body.empty(), 1);

    private final RequestLedger ledger =
            new RequestLedger(new LedgerSettings(65_536, 8_192, 256 << 10, 64L << 20, 1_000, REMEMBERED, 5_000));
    private AttemptTracker tracker = newTracker();
    private AttemptKey trackedKey = new AttemptKey(new RequestId(0, 1), 1);
    private long number;
    private int offset;

    /** Fills the ledger; one attempt ends in each millisecond, and the oldest is forgotten. */
    @Setup
    public void fill() {
        for (int index = 0; index < REMEMBERED; index++) {
            completeAttempt();
        }
        trackedKey = tracker.begin(new UpstreamId("upstream"), 1, 0);
    }

    private static AttemptTracker newTracker() {
        return new AttemptTracker(new TrackedRequest(new RequestId(0, 1), true, 3, Long.MAX_VALUE, 60_000), () -> true);
    }

    /**
     * Takes an attempt from its dispatch to its end with one chunk.
     *
     * @return whether the attempt finished
     */
    @Benchmark
    public boolean completeAttempt() {
        number++;
        AttemptKey key = new AttemptKey(new RequestId(1, number), 1);
        ledger.dispatch(key, true, ENTRY, 0, number);
        ledger.tryStart(key);
        ledger.append(key, new TextChunk(0, 1, "text"));
        boolean finished = ledger.finish(key, RESULT, number);
        ledger.expire(number);
        return finished;
    }

    /**
     * Asks for an attempt that has finished.
     *
     * @return its state
     */
    @Benchmark
    public AttemptState queryFinished() {
        return ledger.query(new AttemptKey(new RequestId(1, number - 100), 1), number);
    }

    /**
     * Decides about a chunk of a stream, including the event and the chunk themselves.
     *
     * @return the decision
     */
    @Benchmark
    public AttemptDecision trackChunk() {
        if (offset == Integer.MAX_VALUE) {
            offset = 0;
            tracker = newTracker();
            trackedKey = tracker.begin(new UpstreamId("upstream"), 1, 0);
        }
        TextChunk chunk = new TextChunk(offset++, 1, "text");
        return tracker.onEvent(new AttemptEvent.ChunkReceived(trackedKey, chunk), offset);
    }
}
