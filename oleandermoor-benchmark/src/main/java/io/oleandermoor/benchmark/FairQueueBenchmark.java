package io.oleandermoor.benchmark;

import io.oleandermoor.state.admission.AdmissionDecision;
import io.oleandermoor.state.admission.AdmissionPolicy;
import io.oleandermoor.state.admission.Deadline;
import io.oleandermoor.state.admission.FairQueue;
import io.oleandermoor.state.admission.QueueSettings;
import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.admission.WaitingRequest;
import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures offer, poll and finish of one request at a steady backlog of 500 teams. */
@SuppressWarnings("NullAway.Init") // JMH calls the setup method before any benchmark.
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class FairQueueBenchmark {

    private static final int TEAMS = 500;
    private static final int BATCH_EVERY = 10;
    private static final Deadline FAR = new Deadline(Long.MAX_VALUE / 4);

    /** Number of waiting requests. */
    @Param({"1000", "16000"})
    public int waiting;

    private final List<TeamName> teams = new ArrayList<>();
    private FairQueue<Long> queue;
    private long key;

    /** Fills the queue. */
    @Setup
    public void prepare() {
        for (int index = 0; index < TEAMS; index++) {
            teams.add(new TeamName("team-" + index));
        }
        queue = new FairQueue<>(new QueueSettings(AdmissionPolicy.WEIGHTED, 64, 4 * waiting, 1, 1, 10));
        while (queue.waitingCount() < waiting) {
            offer();
        }
    }

    /**
     * Offers one request, and serves another.
     *
     * @return the request served
     */
    @Benchmark
    public WaitingRequest<Long> offerAndPoll() {
        AdmissionDecision decision = offer();
        if (!(decision instanceof AdmissionDecision.Queued)) {
            throw new IllegalStateException("unexpected decision " + decision);
        }
        WaitingRequest<Long> request = queue.poll(key).orElseThrow();
        queue.finished(request.key(), request.tokens() / 2, key);
        return request;
    }

    private AdmissionDecision offer() {
        key++;
        RequestClass requestClass = key % BATCH_EVERY == 0 ? RequestClass.BATCH : RequestClass.LIVE;
        int index = (int) (key * 7 % TEAMS);
        long tokens = 100 + key % 400;
        return queue.offer(new WaitingRequest<>(key, teams.get(index), 1 + index % 3, requestClass, tokens, FAR), key);
    }
}
