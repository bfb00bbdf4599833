package io.oleandermoor.gateway.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Soaks two entry processes beside instances that answer twice, while entries, instances and the configuration change.
 * For a long run: {@code -Dsoak.seeds=1-50 -Dsoak.seconds=10}.
 */
class StutterSoakTest {

    private static final String SEEDS = System.getProperty("soak.seeds", "1-2");
    private static final Duration DURATION = Duration.ofSeconds(Long.getLong("soak.seconds", 8));
    private static final int CALLERS = 24;
    private static final int DISTURBERS = 3;
    private static final int MAXIMUM_DISTURBANCE_GAP_MILLIS = 900;
    private static final int MAXIMUM_SHOWN_VIOLATIONS = 5;
    private static final long END_TIMEOUT_SECONDS = 20;
    /** Fewer would mean that the soak plays hardly anything. */
    private static final int MINIMUM_SUCCESSES = 20;

    static LongStream seeds() {
        String[] bounds = SEEDS.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
    }

    /** Guards against a success for a failed run, or bytes of another answer, beside second and partial answers. */
    @ParameterizedTest
    @MethodSource("seeds")
    void callersGetWhatRunsAnswered(long seed, @TempDir Path directory) throws Exception {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        List<SoakCaller> callers = new ArrayList<>();
        Queue<Throwable> errors = new ConcurrentLinkedQueue<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        try (SoakFleet fleet = new SoakFleet(seed, directory)) {
            fleet.awaitReady();
            long end = System.nanoTime() + DURATION.toNanos();
            for (int index = 0; index < CALLERS; index++) {
                SoakCaller caller = new SoakCaller(
                        "q" + seed + "-" + index,
                        fleet.entries(),
                        RandomSource.SPLIT_MIX_64.create(random.nextLong()),
                        () -> System.nanoTime() < end);
                callers.add(caller);
                threads.execute(caller);
            }
            for (int index = 0; index < DISTURBERS; index++) {
                UniformRandomProvider own = RandomSource.SPLIT_MIX_64.create(random.nextLong());
                threads.execute(() -> disturb(fleet, own, end, errors));
            }
            threads.shutdown();
            assertThat(threads.awaitTermination(DURATION.toSeconds() + END_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .as("end of all callers")
                    .isTrue();
            assertThat(errors).isEmpty();
            judge(seed, fleet, callers);
            assertThat(fleet.entries())
                    .as("entries that ended by themselves with seed " + seed)
                    .allSatisfy(entry -> assertThat(entry.unexpectedEnds()).isEmpty());
        } finally {
            threads.shutdownNow();
        }
    }

    private static void disturb(SoakFleet fleet, UniformRandomProvider random, long end, Queue<Throwable> errors) {
        try {
            while (System.nanoTime() < end) {
                LockSupport.parkNanos(random.nextInt(MAXIMUM_DISTURBANCE_GAP_MILLIS) * 1_000_000L);
                Disturbance.draw(random).play(fleet, random);
            }
        } catch (Exception exception) {
            errors.add(exception);
        }
    }

    private static void judge(long seed, SoakFleet fleet, List<SoakCaller> callers) {
        Map<String, Integer> counts = new TreeMap<>();
        List<String> violations = new ArrayList<>();
        Map<String, Integer> brokenRules = new TreeMap<>();
        for (SoakCaller caller : callers) {
            counts.merge("unreachable", caller.unreachable(), Integer::sum);
            for (CallerAnswer answer : caller.answers()) {
                String outcome = answer.complete() ? Integer.toString(answer.status()) : "aborted";
                counts.merge(answer.path() + " " + outcome, 1, Integer::sum);
                fleet.ledger().judge(answer).ifPresent(rule -> {
                    brokenRules.merge(rule, 1, Integer::sum);
                    violations.add(describe(seed, rule, answer, fleet));
                });
            }
        }
        System.out.println("soak seed=" + seed + " seconds=" + DURATION.toSeconds() + " violations=" + violations.size()
                + " rules=" + brokenRules + " restores="
                + fleet.entries().stream()
                        .mapToInt(
                                entry -> entry.linesWith("event=store_restored").size())
                        .sum()
                + " answers=" + counts + " connections="
                + fleet.ledger().played());
        violations.stream().limit(MAXIMUM_SHOWN_VIOLATIONS).forEach(System.out::println);
        assertThat(brokenRules).as("violations with seed " + seed).isEmpty();
        int successes = counts.entrySet().stream()
                .filter(count -> count.getKey().endsWith(" 200"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        assertThat(successes).as("successes with seed " + seed).isGreaterThan(MINIMUM_SUCCESSES);
    }

    private static String describe(long seed, String rule, CallerAnswer answer, SoakFleet fleet) {
        List<String> lines = new ArrayList<>();
        fleet.entries().forEach(entry -> lines.addAll(entry.linesWith(answer.requestId())));
        return "violation: " + rule + "\n  seed " + seed + "\n  request " + answer.requestId() + " "
                + answer.path() + "\n  runs " + fleet.ledger().runs(answer.requestId()) + "\n  caller " + answer
                + "\n  " + String.join("\n  ", lines);
    }
}
