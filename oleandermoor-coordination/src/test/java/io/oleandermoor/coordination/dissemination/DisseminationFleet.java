package io.oleandermoor.coordination.dissemination;

import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Processes in memory whose messages take one network step of 200 ms. */
final class DisseminationFleet {

    static final long STEP_MILLIS = 200;
    private static final int STEPS_PER_EXCHANGE = 5;

    final List<Process> processes = new ArrayList<>();
    private final Map<InstanceId, Process> byId = new HashMap<>();
    private final UniformRandomProvider random;
    private List<Delivery> inFlight = new ArrayList<>();
    private long steps;
    double lossRate;
    Predicate<Delivery> cut = delivery -> false;

    DisseminationFleet(int size, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<InstanceId> ids = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            Process process = new Process(new InstanceId("process-" + index));
            processes.add(process);
            byId.put(process.id, process);
            ids.add(process.id);
        }
        // Each process may choose itself; that message is dropped. A list without it for each would take memory.
        processes.forEach(process -> process.disseminator.setPeers(ids, List.of()));
    }

    long nowMillis() {
        return steps * STEP_MILLIS;
    }

    void publish(int process, Item item) {
        Process origin = processes.get(process);
        origin.take(origin.disseminator.publish(List.of(item), nowMillis()));
    }

    void step() {
        steps++;
        List<Delivery> arriving = inFlight;
        inFlight = new ArrayList<>();
        for (Delivery delivery : arriving) {
            Process receiver = byId.get(delivery.receiver);
            if (!cut.test(delivery) && !delivery.receiver.equals(delivery.sender) && random.nextDouble() >= lossRate) {
                receiver.take(receiver.disseminator.receive(delivery.sender, delivery.message, nowMillis()));
            }
        }
        for (Process process : processes) {
            if (process.phase == steps % STEPS_PER_EXCHANGE) {
                process.take(process.disseminator.exchange(nowMillis()));
            }
        }
    }

    void run(long millis) {
        for (long end = nowMillis() + millis; nowMillis() < end; ) {
            step();
        }
    }

    /** Returns the time until all processes have an item, or -1 if that takes longer than the limit. */
    long millisUntilAllHave(String name, long version, long limitMillis) {
        long start = nowMillis();
        while (nowMillis() - start <= limitMillis) {
            if (processes.stream().allMatch(process -> process.has(name, version))) {
                return nowMillis() - start;
            }
            step();
        }
        return -1;
    }

    record Delivery(InstanceId sender, InstanceId receiver, ItemMessage message) {}

    final class Process {

        final InstanceId id;
        final Freshness freshness = new Freshness();
        final Disseminator disseminator;
        final List<Item> accepted = new ArrayList<>();
        private final long phase = random.nextInt(STEPS_PER_EXCHANGE);

        Process(InstanceId id) {
            this.id = id;
            disseminator = new Disseminator(
                    RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()),
                    freshness,
                    item -> item.name().startsWith("configuration/"));
        }

        boolean has(String name, long version) {
            return disseminator
                    .item(name)
                    .filter(item -> item.version() >= version)
                    .isPresent();
        }

        private void take(DisseminationStep step) {
            accepted.addAll(step.accepted());
            step.messages().forEach(message -> inFlight.add(new Delivery(id, message.receiver(), message.message())));
        }
    }
}
