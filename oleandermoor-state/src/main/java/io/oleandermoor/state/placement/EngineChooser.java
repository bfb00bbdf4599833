package io.oleandermoor.state.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Selects the engine for an additional copy of a model, if necessary by evicting copies of lower rank. */
final class EngineChooser {

    /** Result if no engine was found. */
    static final int NO_ENGINE = -1;

    /** Cost of evicting a copy other than a surplus copy. Exceeds any load in tokens/s. */
    private static final double NON_SURPLUS_EVICTION_COST = 1e12;

    private final IndexedFleet fleet;
    private final PlanDraft draft;
    private final boolean packing;

    /**
     * Creates a chooser.
     *
     * @param packing whether to fill engines as far as possible instead of spreading the load
     */
    EngineChooser(IndexedFleet fleet, PlanDraft draft, boolean packing) {
        this.fleet = fleet;
        this.draft = draft;
        this.packing = packing;
    }

    /** Returns the best engine with enough free memory, or {@link #NO_ENGINE}. */
    int selectWithFreeMemory(int model, long memoryMegabytes, CopyRank rank) {
        boolean spreading = rank != CopyRank.DEMAND;
        int best = NO_ENGINE;
        double bestCost = Double.POSITIVE_INFINITY;
        int bestCopiesInDomain = Integer.MAX_VALUE;
        for (int engine = 0; engine < fleet.usable.length; engine++) {
            if (draft.freeMegabytes(engine) < memoryMegabytes || !fleet.usable[engine]) {
                continue;
            }
            int copiesInDomain = spreading ? draft.copiesInDomain(model, fleet.domainOf[engine]) : 0;
            double cost = packing ? draft.freeMegabytes(engine) : draft.load(engine);
            boolean better =
                    copiesInDomain < bestCopiesInDomain || (copiesInDomain == bestCopiesInDomain && cost < bestCost);
            if (better && !draft.modelsOn(engine).contains(model)) {
                best = engine;
                bestCost = cost;
                bestCopiesInDomain = copiesInDomain;
            }
        }
        return best;
    }

    /** Returns the engine with the lowest eviction cost after evicting copies from it, or {@link #NO_ENGINE}. */
    int selectWithEviction(int model, long memoryMegabytes, CopyRank rank) {
        int best = NO_ENGINE;
        double bestCost = Double.POSITIVE_INFINITY;
        List<Integer> bestVictims = List.of();
        for (int engine = 0; engine < fleet.usable.length; engine++) {
            if (!fleet.usable[engine] || draft.modelsOn(engine).contains(model)) {
                continue;
            }
            List<Integer> victims = selectVictims(engine, memoryMegabytes, rank, model);
            double cost = victims.isEmpty() ? Double.POSITIVE_INFINITY : evictionCost(engine, victims);
            if (rank != CopyRank.DEMAND) {
                cost += draft.copiesInDomain(model, fleet.domainOf[engine]) * NON_SURPLUS_EVICTION_COST / 2;
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
     * Evicts copies of other models until the memory is free, but never the only copy of a model. Returns false,
     * without a change, if that is impossible.
     */
    boolean freeMemory(int engine, long memoryMegabytes, int keptModel) {
        List<Integer> victims = selectVictims(engine, memoryMegabytes, CopyRank.ONLY, keptModel);
        for (int victim : victims) {
            draft.remove(engine, victim);
        }
        return !victims.isEmpty();
    }

    private List<Integer> selectVictims(int engine, long memoryMegabytes, CopyRank rank, int keptModel) {
        IntList models = draft.modelsOn(engine);
        List<Integer> candidates = new ArrayList<>(models.size());
        long availableMegabytes = draft.freeMegabytes(engine);
        for (int index = 0; index < models.size(); index++) {
            int candidate = models.get(index);
            if (candidate != keptModel && rank(candidate).compareTo(rank) > 0 && isEvictable(engine, candidate)) {
                candidates.add(candidate);
                availableMegabytes += memoryWithAdapters(engine, candidate);
            }
        }
        if (availableMegabytes < memoryMegabytes) {
            return List.of();
        }
        candidates.sort(Comparator.comparing((Integer candidate) -> rank(candidate))
                .reversed()
                .thenComparingDouble(draft::plannedDemandPerCopy)
                .thenComparingInt(candidate -> candidate));
        long missingMegabytes = memoryMegabytes - draft.freeMegabytes(engine);
        List<Integer> victims = new ArrayList<>(candidates.size());
        for (int candidate : candidates) {
            if (missingMegabytes > 0) {
                victims.add(candidate);
                missingMegabytes -= memoryWithAdapters(engine, candidate);
            }
        }
        return victims;
    }

    private long memoryWithAdapters(int engine, int model) {
        long memory = fleet.modelMemory(model);
        for (int adapter : fleet.adaptersOf[model]) {
            memory += draft.adaptersOn(engine).contains(adapter) ? fleet.adapterMemory(adapter) : 0;
        }
        return memory;
    }

    private double evictionCost(int engine, List<Integer> victims) {
        double cost = draft.load(engine);
        for (int victim : victims) {
            cost += rank(victim) == CopyRank.SURPLUS ? 0 : NON_SURPLUS_EVICTION_COST;
        }
        return cost;
    }

    private CopyRank rank(int model) {
        int copies = draft.copies(model);
        if (copies <= 1) {
            return CopyRank.ONLY;
        }
        if (copies <= fleet.desiredCopies[model]) {
            return CopyRank.DESIRED;
        }
        return copies <= fleet.retainedCopies[model] ? CopyRank.DEMAND : CopyRank.SURPLUS;
    }

    /**
     * Returns whether a copy can be evicted immediately: neither the model nor an adapter loses its last copy, and if
     * the copy of one of them is ready, another assigned copy of it is ready too.
     */
    boolean isEvictable(int engine, int model) {
        if (draft.copies(model) <= 1 || (fleet.isReady(engine, model) && !isReadyElsewhere(engine, model))) {
            return false;
        }
        for (int adapter : fleet.adaptersOf[model]) {
            if (draft.adaptersOn(engine).contains(adapter) && !isAdapterEvictable(engine, adapter)) {
                return false;
            }
        }
        return true;
    }

    private boolean isAdapterEvictable(int engine, int adapter) {
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
