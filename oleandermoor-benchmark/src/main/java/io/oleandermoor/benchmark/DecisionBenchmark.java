package io.oleandermoor.benchmark;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.infra.Blackhole;

/**
 * Measures all decisions about one request: tokens of the team, choice of the upstream, and its place among the waiting
 * requests of that upstream. The target is under 20 µs at p99, without allocation that grows with the fleet.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class DecisionBenchmark {

    private static final int WAITING = 200;

    private final RateClientBenchmark rate = new RateClientBenchmark();
    private final RoutingBenchmark routing = new RoutingBenchmark();
    private final FairQueueBenchmark queue = new FairQueueBenchmark();

    /** Number of models and upstreams. */
    @Param({"14/6", "530/4600"})
    private String fleet = "14/6";

    /** Creates the tables; the queue of the upstream is full, as in an overload. */
    @Setup
    public void prepare() {
        rate.prepare();
        routing.fleet = fleet;
        routing.fill();
        queue.waiting = WAITING;
        queue.prepare();
    }

    /** Reads the next query, which is not part of the decision. */
    @Setup(Level.Invocation)
    public void readNextQuery() {
        routing.readNextQuery();
    }

    /**
     * Takes the decisions about one request.
     *
     * @param blackhole takes the decisions
     */
    @Benchmark
    public void decide(Blackhole blackhole) {
        blackhole.consume(rate.reserve());
        blackhole.consume(routing.chooseAndSend());
        blackhole.consume(queue.offerAndPoll());
    }
}
