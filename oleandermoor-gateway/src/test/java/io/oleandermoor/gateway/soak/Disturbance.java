package io.oleandermoor.gateway.soak;

import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;

/** What happens beside the requests. Each takes some time, and several overlap. */
enum Disturbance {
    /** An entry is asked to end and starts again. */
    TERMINATED_ENTRY {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) throws Exception {
            fleet.restartEntry(random, false);
        }
    },
    /** An entry is killed, also while it ends, and starts again. */
    KILLED_ENTRY {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) throws Exception {
            fleet.restartEntry(random, true);
        }
    },
    /** An entry gets a series of SIGHUP. */
    HANGUPS {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) throws Exception {
            EntryProcess entry = fleet.entry(random);
            for (int count = 1 + random.nextInt(MAXIMUM_SERIES); count > 0; count--) {
                entry.hangUp();
                pause(random);
            }
        }
    },
    /** The operator writes a series of versions of the configuration. */
    CONFIGURATIONS {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) {
            for (int count = 1 + random.nextInt(MAXIMUM_SERIES); count > 0; count--) {
                fleet.configure();
                pause(random);
            }
        }
    },
    /** An instance announces that it leaves, and comes back at its port under another id. */
    LEAVING_INSTANCE {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) throws Exception {
            fleet.replaceInstance(random, true);
        }
    },
    /** An instance crashes, and comes back at its port under another id. */
    CRASHED_INSTANCE {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) throws Exception {
            fleet.replaceInstance(random, false);
        }
    },
    /** The store is away for a moment and comes back from a copy. */
    RESTORED_STORE {
        @Override
        void play(SoakFleet fleet, UniformRandomProvider random) {
            fleet.restoreStore(random);
        }
    };

    private static final int MAXIMUM_SERIES = 5;
    private static final int MAXIMUM_PAUSE_MILLIS = 120;

    abstract void play(SoakFleet fleet, UniformRandomProvider random) throws Exception;

    static void pause(UniformRandomProvider random) {
        LockSupport.parkNanos(random.nextInt(MAXIMUM_PAUSE_MILLIS) * 1_000_000L);
    }

    /** Draws a disturbance; entries end less often than the others, since they need seconds to be back. */
    static Disturbance draw(UniformRandomProvider random) {
        Disturbance drawn = values()[random.nextInt(values().length)];
        return drawn == TERMINATED_ENTRY || drawn == KILLED_ENTRY ? values()[random.nextInt(values().length)] : drawn;
    }
}
