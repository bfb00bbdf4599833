package io.oleandermoor.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Soaks the hand-over of orders between machines while processes, machines and the store are disturbed. For a long run:
 * {@code -Dhandover.seeds=1-50}.
 */
class OrderHandOverSoakTest {

    private static final String SEEDS = System.getProperty("handover.seeds", "1-16");
    private static final int CONCURRENT_WORLDS = 16;

    private static LongStream seeds() {
        String[] bounds = SEEDS.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
    }

    private static HandOverWorld.Outcome play(long seed) throws Exception {
        try (HandOverWorld world = new HandOverWorld(seed)) {
            HandOverWorld.Outcome outcome = world.play();
            System.out.println("hand-over seed=" + seed + " orders=" + outcome.orders() + " gaps_ms="
                    + outcome.gapsMillis() + " violations=" + outcome.violations());
            return outcome;
        }
    }

    /** Guards against orders of two machines within the gap. */
    @Test
    void machinesGiveOrdersInTurnWithTheGapBetweenThem() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CONCURRENT_WORLDS);
        List<String> violations = new ArrayList<>();
        int handOvers = 0;
        int worlds = 0;
        try {
            List<Future<HandOverWorld.Outcome>> running =
                    seeds().mapToObj(seed -> threads.submit(() -> play(seed))).toList();
            for (Future<HandOverWorld.Outcome> outcome : running) {
                violations.addAll(outcome.get().violations());
                handOvers += outcome.get().gapsMillis().size();
                worlds++;
            }
        } finally {
            threads.shutdownNow();
        }
        assertThat(violations).as("violations, each with the seed of its world").isEmpty();
        assertThat(handOvers)
                .as("hand-overs in " + worlds + " worlds; fewer would mean that the soak plays hardly anything")
                .isGreaterThanOrEqualTo(worlds / 2);
    }
}
