package io.oleandermoor.replay;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.placement.LoadPermitLimits;
import java.util.List;

/**
 * Header of a trace: what exists when it starts. Immutable.
 *
 * @param name name of the deployment
 * @param timeFactor recorded seconds for each replayed second, positive
 * @param entries number of entries, positive
 * @param engines the engines
 * @param models the models
 * @param adapters the adapters
 * @param teams the teams with rate, burst and weight
 * @param weightStore limits of the weight store
 */
public record Deployment(
        String name,
        int timeFactor,
        int entries,
        List<Engine> engines,
        List<Model> models,
        List<Adapter> adapters,
        List<Team> teams,
        LoadPermitLimits weightStore) {

    /** Checks the numbers and copies the lists. */
    public Deployment {
        if (timeFactor <= 0 || entries <= 0) {
            throw new IllegalArgumentException(
                    "timeFactor and entries must be positive: " + timeFactor + ", " + entries);
        }
        engines = List.copyOf(engines);
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
        teams = List.copyOf(teams);
        if (engines.isEmpty() || models.isEmpty() || teams.isEmpty()) {
            throw new IllegalArgumentException("engines, models and teams must not be empty");
        }
    }

    /**
     * One engine on one accelerator.
     *
     * @param id the engine
     * @param domain its failure domain
     * @param memoryMegabytes memory for weights, in megabytes, positive
     * @param slots requests that it runs at the same time, positive
     */
    public record Engine(UpstreamId id, FailureDomain domain, long memoryMegabytes, int slots) {

        /** Checks the numbers. */
        public Engine {
            if (memoryMegabytes <= 0 || slots <= 0) {
                throw new IllegalArgumentException(
                        "memoryMegabytes and slots must be positive: " + memoryMegabytes + ", " + slots);
            }
        }
    }
}
