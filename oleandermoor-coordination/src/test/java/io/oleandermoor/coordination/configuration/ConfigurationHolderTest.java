package io.oleandermoor.coordination.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.finding.InvalidInputException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class ConfigurationHolderTest {

    private final ConfigurationHolder holder = new ConfigurationHolder();

    /** Guards against a revoked key that returns with an old copy. */
    @Property(tries = 200, seed = "20261204")
    void versionsNeverFall(@ForAll long seed) throws InvalidInputException {
        Random random = new Random(seed);
        List<Configuration> copies = new ArrayList<>(List.of(Configuration.empty()));
        for (long version = 1; version <= 30; version++) {
            copies.add(copies.get((int) version - 1)
                    .apply(Changes.versioned(version).changeSet()));
        }
        ConfigurationHolder tested = new ConfigurationHolder();
        List<Long> reported = new ArrayList<>();
        tested.addListener((previous, current) -> {
            assertThat(reported.isEmpty() ? 0 : reported.get(reported.size() - 1))
                    .isEqualTo(previous.version());
            reported.add(current.version());
        });
        long last = 0;
        for (int step = 0; step < 200; step++) {
            int version = 1 + random.nextInt(30);
            if (random.nextInt(20) == 0) {
                tested.offer(copies.get(version));
            } else {
                tested.offer(Changes.versioned(version));
            }
            Configuration inForce = tested.configuration();
            assertThat(inForce.version()).isGreaterThanOrEqualTo(last);
            assertThat(inForce.teams()).hasSize((int) inForce.version());
            last = inForce.version();
        }
        assertThat(reported).isSorted().doesNotHaveDuplicates();
        assertThat(reported.get(reported.size() - 1)).isEqualTo(last);
    }

    @Test
    void changeWaitsForItsPredecessors() {
        assertThat(holder.offer(Changes.versioned(3))).isFalse();
        assertThat(holder.missing()).contains(new VersionRange(1, 2));
        assertThat(holder.offer(Changes.versioned(1))).isTrue();
        assertThat(holder.offer(Changes.versioned(2))).isTrue();
        assertThat(holder.configuration().version()).isEqualTo(3);
        assertThat(holder.missing()).isEmpty();
    }

    @Test
    void changeThatCannotBeAppliedIsMissing() {
        holder.offer(new VersionedChange(1, Changes.issueKeys("unknown", 1)));
        assertThat(holder.configuration().version()).isZero();
        assertThat(holder.missing()).contains(new VersionRange(1, 1));
        holder.offer(Changes.versioned(1));
        assertThat(holder.missing()).isEmpty();
    }

    @Test
    void listenerThatOffersALaterVersionIsReportedInOrder() {
        List<Long> reported = new ArrayList<>();
        holder.addListener((previous, current) -> {
            holder.offer(Changes.versioned(current.version() + (current.version() < 3 ? 1 : 0)));
            reported.add(current.version());
        });
        holder.offer(Changes.versioned(1));
        assertThat(reported).containsExactly(1L, 2L, 3L);
    }

    /** Guards against a version that threads see fall or that is applied out of order. */
    @Test
    void offersAreLinearizable() {
        new StressOptions()
                .iterations(5)
                .invocationsPerIteration(150)
                .threads(3)
                .actorsPerThread(3)
                .check(SharedHolder.class);
    }

    /** The operations that lincheck runs from several threads. */
    public static class SharedHolder {

        private final ConfigurationHolder holder = new ConfigurationHolder();

        @Operation
        public boolean offer(int version) {
            return holder.offer(Changes.versioned(1 + Math.floorMod(version, 4)));
        }

        @Operation
        public long version() {
            return holder.configuration().version();
        }

        @Operation
        public String missing() {
            return holder.missing().toString();
        }
    }
}
