package io.oleandermoor.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Chooses the engine for one more copy of a model, if necessary by giving up copies of lower rank. */
final class EngineChooser {

    /** No engine was found. */
    static final int NONE = -1;

    /** Cost of giving up a copy that is no surplus, larger than any load in tokens/s. */
    private static final double RANK_COST = 1e12;

    private final IndexedFleet fleet;
    private final Draft draft;
    private final boolean packs;

    /**
     * Creates a chooser.
     *
     * @param packs whether to fill engines as far as possible instead of spreading the load
     */
    EngineChooser(IndexedFleet fleet, Draft draft, boolean packs) {
        this.fleet = fleet;
        this.draft = draft;
        this.packs = packs;
    }

    /** Returns the best engine with enough free memory, or {@link #NONE}. */
    int withFreeMemory(int model, long memoryMegabytes, CopyRank rank) {
        boolean spreads = rank != CopyRank.DEMAND;
        int best = NONE;
        double bestCost = Double.POSITIVE_INFINITY;
        int bestDomain = Integer.MAX_VALUE;
        for (int engine = 0; engine < fleet.usable.length; engine++) {
            if (draft.free(engine) < memoryMegabytes || !fleet.usable[engine]) {
                continue;
            }
            int domain = spreads ? draft.copiesInDomain(model, fleet.domain[engine]) : 0;
            double cost = packs ? draft.free(engine) : draft.load(engine);
            boolean better = domain < bestDomain || (domain == bestDomain && cost < bestCost);
            if (better && !draft.modelsOn(engine).contains(model)) {
                best = engine;
                bestCost = cost;
                bestDomain = domain;
            }
        }
        return best;
    }

    /** Returns the engine where giving up copies costs least, after giving them up, or {@link #NONE}. */
    int withEviction(int model, long memoryMegabytes, CopyRank rank) {
        int best = NONE;
        double bestCost = Double.POSITIVE_INFINITY;
        List<Integer> bestVictims = List.of();
        for (int engine = 0; engine < fleet.usable.length; engine++) {
            if (!fleet.usable[engine] || draft.modelsOn(engine).contains(model)) {
                continue;
            }
            List<Integer> victims = victims(engine, memoryMegabytes, rank, model);
            double cost = victims.isEmpty() ? Double.POSITIVE_INFINITY : cost(engine, victims);
            if (rank != CopyRank.DEMAND) {
                cost += draft.copiesInDomain(model, fleet.domain[engine]) * RANK_COST / 2;
            }
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
                bestVictims = victims;
            }
        }
        for (int victim : bestVictims) {
            draft.remove(best, victim);
        }
        return best;
    }

    /**
     * Gives up copies of other models that are not the only ones until the memory is free. Returns false, without a
     * change, if it cannot be.
     */
    boolean makeRoom(int engine, long memoryMegabytes, int keptModel) {
        List<Integer> victims = victims(engine, memoryMegabytes, CopyRank.ONLY, keptModel);
        for (int victim : victims) {
            draft.remove(engine, victim);
        }
        return !victims.isEmpty();
    }

    private List<Integer> victims(int engine, long memoryMegabytes, CopyRank rank, int keptModel) {
        IntList models = draft.modelsOn(engine);
        List<Integer> candidates = new ArrayList<>(models.size());
        long freeable = draft.free(engine);
        for (int index = 0; index < models.size(); index++) {
            int candidate = models.get(index);
            if (candidate != keptModel && rank(candidate).compareTo(rank) > 0 && mayBeGivenUp(engine, candidate)) {
                candidates.add(candidate);
                freeable += memory(engine, candidate);
            }
        }
        if (freeable < memoryMegabytes) {
            return List.of();
        }
        candidates.sort(Comparator.comparing((Integer candidate) -> rank(candidate))
                .reversed()
                .thenComparingDouble(draft::plannedShare)
                .thenComparingInt(candidate -> candidate));
        long missing = memoryMegabytes - draft.free(engine);
        List<Integer> victims = new ArrayList<>(candidates.size());
        for (int candidate : candidates) {
            if (missing > 0) {
                victims.add(candidate);
                missing -= memory(engine, candidate);
            }
        }
        return victims;
    }

    private long memory(int engine, int model) {
        long memory = fleet.modelMemory(model);
        for (int adapter : fleet.adaptersOf[model]) {
            memory += draft.adaptersOn(engine).contains(adapter) ? fleet.adapterMemory(adapter) : 0;
        }
        return memory;
    }

    private double cost(int engine, List<Integer> victims) {
        double cost = draft.load(engine);
        for (int victim : victims) {
            cost += rank(victim) == CopyRank.SURPLUS ? 0 : RANK_COST;
        }
        return cost;
    }

    private CopyRank rank(int model) {
        int copies = draft.copies(model);
        if (copies <= 1) {
            return CopyRank.ONLY;
        }
        if (copies <= fleet.desired[model]) {
            return CopyRank.DESIRED;
        }
        return copies <= fleet.retained[model] ? CopyRank.DEMAND : CopyRank.SURPLUS;
    }

    /**
     * Returns whether a copy can be given up at once: neither the model nor an adapter loses its last copy, and where
     * one of them is ready, another wanted copy is ready too.
     */
    boolean mayBeGivenUp(int engine, int model) {
        if (draft.copies(model) <= 1 || (fleet.isReady(engine, model) && !isReadyElsewhere(engine, model))) {
            return false;
        }
        for (int adapter : fleet.adaptersOf[model]) {
            if (draft.adaptersOn(engine).contains(adapter) && !mayLoseAdapter(engine, adapter)) {
                return false;
            }
        }
        return true;
    }

    private boolean mayLoseAdapter(int engine, int adapter) {
        IntList engines = draft.enginesOfAdapter(adapter);
        for (int index = 0; index < engines.size(); index++) {
            int other = engines.get(index);
            if (other != engine && (!fleet.isAdapterReady(engine, adapter) || fleet.isAdapterReady(other, adapter))) {
                return true;
            }
        }
        return false;
    }

    private boolean isReadyElsewhere(int engine, int model) {
        IntList engines = draft.enginesOf(model);
        for (int index = 0; index < engines.size(); index++) {
            if (engines.get(index) != engine && fleet.isReady(engines.get(index), model)) {
                return true;
            }
        }
        return false;
    }
}
