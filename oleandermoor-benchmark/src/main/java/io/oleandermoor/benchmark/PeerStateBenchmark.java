package io.oleandermoor.benchmark;

import io.oleandermoor.coordination.dissemination.Disseminator;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.AuxCounters;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the heap that one entry keeps for its peers at the target size: items of 340 entries and 4,600 agents, the
 * routing table with its prefixes, rate grants of 500 teams. Connections are not included. The target is 256 MB.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 0)
@Measurement(iterations = 1, time = 1, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class PeerStateBenchmark {

    private static final int PROCESSES = 4_940;
    private static final int ITEM_BYTES = 250;
    private static final int COLLECTIONS = 3;
    private static final double BYTES_PER_MEGABYTE = 1_000_000;

    /** The state of the last operation, kept while its memory is measured. */
    public List<Object> state = List.of();

    /** The heap in use by the state. */
    @AuxCounters(AuxCounters.Type.EVENTS)
    @State(Scope.Thread)
    public static class Retained {

        /** Megabytes of 1,000,000 bytes, rounded up. */
        public long retainedMegabytes;
    }

    /**
     * Builds the state of one entry.
     *
     * @param retained takes the heap that it keeps
     */
    @Benchmark
    public void build(Retained retained) {
        state = List.of();
        long before = usedBytes();
        Disseminator disseminator =
                new Disseminator(RandomSource.XO_RO_SHI_RO_128_PP.create(1L), new Freshness(), item -> false);
        List<InstanceId> peers = new ArrayList<>();
        List<Item> items = new ArrayList<>();
        for (int index = 0; index < PROCESSES; index++) {
            peers.add(new InstanceId("process-" + index));
            items.add(new Item("member/process-" + index, 1, new byte[ITEM_BYTES]));
        }
        disseminator.setPeers(peers, List.of());
        disseminator.publish(items, 0);
        RoutingBenchmark routing = new RoutingBenchmark();
        routing.fleet = "530/4600";
        routing.fill();
        RateClientBenchmark rate = new RateClientBenchmark();
        rate.prepare();
        state = List.of(disseminator, routing, rate);
        items.clear();
        retained.retainedMegabytes = (long) Math.ceil((usedBytes() - before) / BYTES_PER_MEGABYTE);
    }

    private static long usedBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
