package io.oleandermoor.gateway.order;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/** What happens to the machines and the store of a {@link HandOverWorld}. Several overlap. */
enum HandOverDisturbance {
    /** A process is killed and starts again on its machine. */
    KILL {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.killAndRestart(world.drawPlace(random), millis(random, 50, 5_000));
        }
    },
    /** A process gets a SIGTERM, goes on for a while, ends, and starts again on its machine. */
    STOP {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.stopAndRestart(world.drawPlace(random), random);
        }
    },
    /** A machine is replaced by one of another name. */
    REPLACEMENT {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            int place = world.drawPlace(random);
            world.kill(place);
            world.later(millis(random, 0, 1_000), () -> world.replace(place));
        }
    },
    /** The holder leaves, and its successor gets a SIGTERM right after it has acquired the right. */
    STOP_AFTER_ACQUISITION {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.stopAndRestart(world.drawHolder(random), random);
            world.whenOneWaits(millis(random, 0, 60), place -> world.stopAndRestart(place, random));
        }
    },
    /** The holder leaves, and its successor is killed while it waits. */
    KILL_IN_GAP {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.stopAndRestart(world.drawHolder(random), random);
            Duration restart = millis(random, 50, 1_000);
            world.whenOneWaits(millis(random, 0, 2_900), place -> world.killAndRestart(place, restart));
        }
    },
    /** A process is suspended. */
    SUSPENSION {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.suspend(world.drawPlace(random), millis(random, 500, 4_000));
        }
    },
    /** Calls are carried out, but some are not answered. */
    LOST_ANSWERS {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.calls().loseAnswers(rate(random), millis(random, 1_000, 6_000));
        }
    },
    /** Some calls are carried out long after their callers have given up. */
    LATE_CALLS {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.calls().delayExecution(rate(random), millis(random, 1_000, 6_000));
        }
    },
    /** Some answers come late, also after their callers have given up. */
    SLOW_ANSWERS {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.calls().delayAnswers(rate(random), millis(random, 1_000, 6_000));
        }
    },
    /** The store is away, and leases pause meanwhile. */
    OUTAGE_WITH_PAUSED_LEASES {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.store().setUnavailable(true);
            world.later(millis(random, 300, 5_000), () -> world.store().setUnavailable(false));
        }
    },
    /** The store is away, and leases run out meanwhile. */
    OUTAGE_WITH_EXPIRED_LEASES {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.store().setUnavailable(true);
            world.later(millis(random, 300, 5_000), () -> world.store().endOutageWithExpiredLeases());
        }
    },
    /** The store is restored from an earlier copy. */
    RESTORE {
        @Override
        void play(HandOverWorld world, UniformRandomProvider random) {
            world.store().takeCopy();
            world.later(millis(random, 100, 5_000), () -> world.store().restore());
        }
    };

    private static final double MINIMUM_RATE = 0.1;
    private static final double RATE_RANGE = 0.5;

    /** Plays this disturbance on the thread of the world's script. */
    abstract void play(HandOverWorld world, UniformRandomProvider random);

    /** Draws a disturbance; a store without eras is not restored. */
    static HandOverDisturbance draw(UniformRandomProvider random, boolean eras) {
        HandOverDisturbance[] all = values();
        return all[random.nextInt(eras ? all.length : all.length - 1)];
    }

    static Duration millis(UniformRandomProvider random, int minimum, int maximum) {
        return Duration.ofMillis(random.nextInt(minimum, maximum));
    }

    private static double rate(UniformRandomProvider random) {
        return MINIMUM_RATE + RATE_RANGE * random.nextDouble();
    }
}
