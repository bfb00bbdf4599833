package io.oleandermoor.benchmark;

import io.oleandermoor.coordination.dissemination.DisseminationStep;
import io.oleandermoor.coordination.dissemination.Disseminator;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.coordination.dissemination.ItemMessage;
import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.AuxCounters;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the spread of a configuration change to all processes: the virtual time until the last has it, where a
 * network step takes 200 ms and a tenth of the messages is lost. The target is 13 s.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 0)
@Measurement(iterations = 1, time = 1, timeUnit = TimeUnit.MILLISECONDS)
@Fork(1)
public class DisseminationBenchmark {

    private static final long STEP_MILLIS = 200;
    private static final int STEPS_PER_EXCHANGE = 5;
    private static final double LOSS = 0.1;
    private static final long LIMIT_MILLIS = 60_000;
    private static final int CHANGE_BYTES = 400;

    /** Entries alone, and with an agent for each of 4,600 replicas. */
    @Param({"340", "4940"})
    private int processes;

    private long seed = 1;

    /** The slowest spread. */
    @AuxCounters(AuxCounters.Type.EVENTS)
    @State(Scope.Thread)
    public static class Spread {

        /** Virtual milliseconds until the last process had the change. */
        public long spreadMillis;
    }

    /**
     * Spreads one change.
     *
     * @param spread takes the virtual time
     */
    @Benchmark
    public void spread(Spread spread) {
        Fleet fleet = new Fleet(processes, seed++);
        long millis = fleet.publish();
        while (fleet.having < processes && millis < LIMIT_MILLIS) {
            millis = fleet.step();
        }
        spread.spreadMillis = Math.max(spread.spreadMillis, fleet.having < processes ? Long.MAX_VALUE : millis);
    }

    private record Delivery(InstanceId sender, InstanceId receiver, ItemMessage message) {}

    /** Processes in memory. */
    private static final class Fleet {

        private final UniformRandomProvider random;
        private final List<InstanceId> ids = new ArrayList<>();
        private final Map<InstanceId, Disseminator> byId = new HashMap<>();
        private List<Delivery> inFlight = new ArrayList<>();
        private int having;
        private int steps;

        Fleet(int size, long seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            for (int index = 0; index < size; index++) {
                ids.add(new InstanceId("process-" + index));
            }
            for (InstanceId id : ids) {
                Disseminator disseminator = new Disseminator(
                        RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()), new Freshness(), item -> true);
                disseminator.setPeers(ids, List.of());
                byId.put(id, disseminator);
            }
        }

        private Disseminator process(InstanceId id) {
            return Objects.requireNonNull(byId.get(id), "process");
        }

        long publish() {
            Item change = new Item("configuration/change/1", 1, new byte[CHANGE_BYTES]);
            take(ids.get(0), process(ids.get(0)).publish(List.of(change), 0));
            return 0;
        }

        /** Delivers what was sent and starts the exchanges that are due; returns the time. */
        long step() {
            long now = ++steps * STEP_MILLIS;
            List<Delivery> arriving = inFlight;
            inFlight = new ArrayList<>();
            for (Delivery delivery : arriving) {
                if (!delivery.receiver.equals(delivery.sender) && random.nextDouble() >= LOSS) {
                    take(delivery.receiver, process(delivery.receiver).receive(delivery.sender, delivery.message, now));
                }
            }
            for (int index = steps % STEPS_PER_EXCHANGE; index < ids.size(); index += STEPS_PER_EXCHANGE) {
                take(ids.get(index), process(ids.get(index)).exchange(now));
            }
            return now;
        }

        private void take(InstanceId id, DisseminationStep step) {
            having += step.accepted().size();
            step.messages().forEach(message -> inFlight.add(new Delivery(id, message.receiver(), message.message())));
        }
    }
}
