package io.oleandermoor.gateway.order;

import io.oleandermoor.gateway.standin.StoreStandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A store and some machines that give orders, disturbed by a script that follows from a seed. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures of the script are recorded by its tasks.
final class HandOverWorld implements AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(HandOverWorld.class);
    private static final Duration GAP = Duration.ofSeconds(3);
    private static final Duration SCRIPT = Duration.ofSeconds(25);
    private static final Duration RECOVERY = Duration.ofSeconds(15);
    /** Longer than calls are delayed, so that those of the script still have their effect. */
    private static final Duration AFTERMATH = Duration.ofSeconds(7);

    private static final Duration TRAP = Duration.ofSeconds(6);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final int[] LONGEST_PAUSES_MILLIS = {2_500, 6_000, 12_000};

    private final long seed;
    private final UniformRandomProvider random;
    private final boolean eras;
    private final StoreStandIn store = new StoreStandIn();
    private final CallDisturbance calls;
    private final OrderHistory history = new OrderHistory();
    private final List<Place> places = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final ScheduledExecutorService script = Executors.newSingleThreadScheduledExecutor();
    private boolean scriptEnded;

    /** The place of a machine, which another one may take. */
    private static final class Place {

        private final String name;
        private int replacements;
        private Optional<OrderingProcess> process = Optional.empty();

        Place(String name) {
            this.name = name;
        }

        String machine() {
            return replacements == 0 ? name : name + "-" + replacements;
        }
    }

    /**
     * What a world came to.
     *
     * @param orders the number of orders
     * @param gapsMillis the times between the orders of two machines in turn, in milliseconds
     * @param violations what broke the rules of the hand-over
     */
    record Outcome(int orders, List<Long> gapsMillis, List<String> violations) {}

    HandOverWorld(long seed) throws IOException {
        this.seed = seed;
        random = RandomSource.SPLIT_MIX_64.create(seed);
        eras = random.nextBoolean();
        calls = new CallDisturbance(RandomSource.SPLIT_MIX_64.create(random.nextLong()));
        if (eras) {
            store.setEra(1);
            store.takeCopy();
        }
        store.refuseEndedLeases(true);
        store.disturbCalls(calls);
        int machines = random.nextInt(3, 5);
        for (int place = 0; place < machines; place++) {
            places.add(new Place("seed-" + seed + "-machine-" + place));
        }
    }

    /** Plays the script and what follows it. */
    Outcome play() throws Exception {
        script.submit(this::startAll).get();
        int longestPauseMillis = LONGEST_PAUSES_MILLIS[random.nextInt(LONGEST_PAUSES_MILLIS.length)];
        long atMillis = random.nextInt(3_000, 9_000);
        while (atMillis < SCRIPT.toMillis()) {
            HandOverDisturbance disturbance = HandOverDisturbance.draw(random, eras);
            UniformRandomProvider own = RandomSource.SPLIT_MIX_64.create(random.nextLong());
            later(Duration.ofMillis(atMillis), () -> {
                LOG.info("event=disturbance seed={} kind={}", seed, disturbance);
                disturbance.play(this, own);
            });
            atMillis += random.nextInt(100, longestPauseMillis);
        }
        LockSupport.parkNanos(SCRIPT.toNanos());
        long endNanos = script.submit(this::endScript).get();
        awaitOrderSince(endNanos);
        LockSupport.parkNanos(Math.max(0, endNanos + AFTERMATH.toNanos() - System.nanoTime()));
        List<String> violations = new ArrayList<>(history.violations(GAP.toMillis()));
        if (!history.hasOrderSince(endNanos)) {
            violations.add("no order within " + RECOVERY + " after the script");
        }
        violations.addAll(script.submit(() -> List.copyOf(failures)).get());
        return new Outcome(
                history.size(),
                history.gapsMillis().boxed().toList(),
                violations.stream()
                        .map(violation -> "seed " + seed + ": " + violation)
                        .toList());
    }

    private void awaitOrderSince(long nanos) {
        while (!history.hasOrderSince(nanos) && System.nanoTime() - nanos < RECOVERY.toNanos()) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    private long endScript() {
        LOG.info("event=script_ended seed={}", seed);
        scriptEnded = true;
        calls.end();
        store.setUnavailable(false);
        startAll();
        return System.nanoTime();
    }

    private void startAll() {
        for (int place = 0; place < places.size(); place++) {
            startIn(place);
        }
    }

    StoreStandIn store() {
        return store;
    }

    CallDisturbance calls() {
        return calls;
    }

    /** Runs a task on the thread of the script, unless the script has ended by then. */
    void later(Duration delay, Runnable task) {
        script.schedule(
                () -> {
                    try {
                        if (!scriptEnded) {
                            task.run();
                        }
                    } catch (RuntimeException exception) {
                        LOG.error("event=script_failed seed={}", seed, exception);
                        failures.add("script failed: " + exception);
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Draws the place of the holder in two of three cases, otherwise any place. */
    int drawPlace(UniformRandomProvider own) {
        return own.nextInt(3) > 0 ? drawHolder(own) : own.nextInt(places.size());
    }

    /** Returns the place of the machine that gives orders, or any place if none does. */
    int drawHolder(UniformRandomProvider own) {
        int drawn = own.nextInt(places.size());
        for (int place = 0; place < places.size(); place++) {
            if (places.get(place).process.filter(OrderingProcess::isOrdering).isPresent()) {
                return place;
            }
        }
        return drawn;
    }

    void startIn(int number) {
        Place place = places.get(number);
        if (place.process.isEmpty()) {
            OrderingProcess process = new OrderingProcess(place.machine(), store.address(), GAP, history);
            place.process = Optional.of(process);
            process.start();
        }
    }

    void replace(int number) {
        kill(number);
        places.get(number).replacements++;
        startIn(number);
    }

    void kill(int number) {
        Place place = places.get(number);
        place.process.ifPresent(OrderingProcess::kill);
        place.process = Optional.empty();
    }

    void killAndRestart(int number, Duration restart) {
        kill(number);
        later(restart, () -> startIn(number));
    }

    void stopAndRestart(int number, UniformRandomProvider own) {
        places.get(number).process.ifPresent(process -> {
            process.stop();
            Duration grace = HandOverDisturbance.millis(own, 100, 1_500);
            Duration restart = grace.plus(HandOverDisturbance.millis(own, 50, 5_000));
            later(grace, () -> {
                if (places.get(number).process.filter(process::equals).isPresent()) {
                    kill(number);
                }
            });
            later(restart, () -> startIn(number));
        });
    }

    void suspend(int number, Duration duration) {
        places.get(number).process.ifPresent(process -> process.suspend(duration));
    }

    /** Runs an action some time after a machine has acquired the right and waits for its first order. */
    void whenOneWaits(Duration delay, IntConsumer action) {
        pollForWaiting(System.nanoTime() + TRAP.toNanos(), delay, action);
    }

    private void pollForWaiting(long endNanos, Duration delay, IntConsumer action) {
        for (int place = 0; place < places.size(); place++) {
            if (places.get(place).process.filter(OrderingProcess::isWaiting).isPresent()) {
                int found = place;
                later(delay, () -> action.accept(found));
                return;
            }
        }
        if (System.nanoTime() - endNanos < 0) {
            later(POLL_INTERVAL, () -> pollForWaiting(endNanos, delay, action));
        }
    }

    @Override
    public void close() {
        script.shutdownNow();
        places.forEach(place -> place.process.ifPresent(OrderingProcess::kill));
        store.close();
    }
}
