package io.oleandermoor.replay;

import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.state.rate.RateLimit;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** What the fakes of one replay share. */
final class World {

    /** Delay of a message between two processes. */
    static final long MESSAGE_MILLIS = 2;

    private static final int MAXIMUM_FINGERPRINTS = 1_000;

    final Deployment deployment;
    final Policies policies;
    final Set<Fault> faults;
    final UniformRandomProvider random;
    final Schedule schedule = new Schedule(this::checkStep);
    final Invariants invariants = new Invariants(schedule);
    final Measurements measurements;
    /** The registry is disseminated in the system; the replay shares it without delay. */
    final CrashRegistry crashes = new CrashRegistry(MAXIMUM_FINGERPRINTS);

    final FleetModel fleet;
    boolean storeAvailable = true;

    World(Deployment deployment, Policies policies, long seed, Set<Fault> faults) {
        this.deployment = deployment;
        this.policies = policies;
        this.faults = Set.copyOf(faults);
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.measurements = new Measurements(deployment);
        this.fleet = new FleetModel(this);
    }

    Map<TeamName, RateLimit> initialLimits() {
        Map<TeamName, RateLimit> limits = new TreeMap<>();
        deployment.teams().forEach(team -> limits.put(team.name(), new RateLimit(team.rate(), team.burst())));
        return limits;
    }

    private void checkStep() {
        fleet.engines.forEach(invariants::memory);
    }
}
