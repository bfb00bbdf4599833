package io.oleandermoor.state.placement;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/** Completes a draft: first copies, further copies, copies for demand, adapters. */
final class CopyPlacer {
    private final IndexedFleet fleet;
    private final PlanDraft draft;
    private final EngineChooser chooser;

    CopyPlacer(IndexedFleet fleet, PlanDraft draft, boolean packs) {
        this.fleet = fleet;
        this.draft = draft;
        chooser = new EngineChooser(fleet, draft, packs);
    }

    /** Places the given models as far as memory allows. */
    void place(int[] models, Comparator<Integer> firstOrder) {
        if (!fleet.policy.hasHysteresis()) {
            IntStream.of(models).forEach(this::removeSurplus);
        }
        IntStream.of(models).boxed().sorted(firstOrder).forEach(this::placeRequired);
        placeDesired(models);
        placeForDemand(models);
    }

    /** Orders models by memory, largest first: small models still fit into what large ones leave. */
    static Comparator<Integer> largestFirst(IndexedFleet fleet) {
        return Comparator.comparingLong((Integer model) -> -fleet.modelMemory(model))
                .thenComparingDouble(model -> -fleet.demand[model])
                .thenComparingInt(model -> model);
    }

    /** Orders models by memory, smallest first: covers most models when not all fit. */
    static Comparator<Integer> smallestFirst(IndexedFleet fleet) {
        return Comparator.comparingLong((Integer model) -> fleet.modelMemory(model))
                .thenComparingDouble(model -> -fleet.demand[model])
                .thenComparingInt(model -> model);
    }

    private void removeSurplus(int model) {
        while (draft.copies(model) > fleet.targetCopies[model]) {
            int most = EngineChooser.NO_ENGINE;
            for (int index = 0; index < draft.copies(model); index++) {
                int engine = draft.enginesOf(model).get(index);
                boolean more = most == EngineChooser.NO_ENGINE || draft.load(engine) > draft.load(most);
                if (more && chooser.isEvictable(engine, model)) {
                    most = engine;
                }
            }
            if (most == EngineChooser.NO_ENGINE) {
                return;
            }
            draft.remove(most, model);
        }
    }

    private void placeRequired(int model) {
        while (draft.copies(model) < requiredCopies(model)) {
            long memory = fleet.modelMemory(model);
            long withAdapters = memory + missingAdapterMemory(model);
            int engine = chooser.selectWithFreeMemory(model, withAdapters, CopyRank.ONLY);
            if (engine == EngineChooser.NO_ENGINE && withAdapters > memory) {
                engine = chooser.selectWithEviction(model, withAdapters, CopyRank.ONLY);
            }
            if (engine == EngineChooser.NO_ENGINE) {
                engine = chooser.selectWithFreeMemory(model, memory, CopyRank.ONLY);
            }
            if (engine == EngineChooser.NO_ENGINE) {
                engine = chooser.selectWithEviction(model, memory, CopyRank.ONLY);
            }
            if (!add(engine, model)) {
                return;
            }
        }
    }

    private int requiredCopies(int model) {
        return draft.lacksRoomForNewVersion(model) ? 2 : 1;
    }

    private void placeDesired(int[] models) {
        Integer[] order = IntStream.of(models)
                .boxed()
                .sorted(Comparator.comparingDouble((Integer model) -> -fleet.demand[model])
                        .thenComparingInt(model -> model))
                .toArray(Integer[]::new);
        boolean placed = true;
        for (int copies = 1; placed; copies++) {
            placed = false;
            for (int model : order) {
                if (draft.copies(model) == copies && copies < fleet.desiredCopies[model]) {
                    placed |= placeDesired(model);
                }
            }
        }
    }

    private boolean placeDesired(int model) {
        long memory = fleet.modelMemory(model);
        int engine = chooser.selectWithFreeMemory(model, memory + missingAdapterMemory(model), CopyRank.DESIRED);
        if (engine == EngineChooser.NO_ENGINE) {
            engine = chooser.selectWithFreeMemory(model, memory, CopyRank.DESIRED);
        }
        if (engine == EngineChooser.NO_ENGINE) {
            engine = chooser.selectWithEviction(model, memory, CopyRank.DESIRED);
        }
        return add(engine, model);
    }

    private void placeForDemand(int[] models) {
        record Need(int model, double share) {}
        PriorityQueue<Need> needs = new PriorityQueue<>(
                Comparator.comparingDouble((Need need) -> -need.share()).thenComparingInt(Need::model));
        for (int model : models) {
            needs.add(new Need(model, fleet.demand[model] / Math.max(1, draft.copies(model))));
        }
        while (!needs.isEmpty()) {
            int model = needs.remove().model();
            if (needsCopyForDemand(model)) {
                int engine = chooser.selectWithFreeMemory(model, fleet.modelMemory(model), CopyRank.DEMAND);
                if (engine == EngineChooser.NO_ENGINE) {
                    engine = chooser.selectWithEviction(model, fleet.modelMemory(model), CopyRank.DEMAND);
                }
                if (add(engine, model)) {
                    needs.add(new Need(model, fleet.demand[model] / draft.copies(model)));
                }
            }
        }
    }

    private boolean needsCopyForDemand(int model) {
        if (draft.copies(model) == 0 || draft.copies(model) >= fleet.targetCopies[model]) {
            return false;
        }
        double perCopy = fleet.settings.engineTokensPerSecond() * fleet.settings.targetUtilization();
        double unserved = fleet.demand[model] - draft.copies(model) * perCopy;
        return !fleet.policy.hasHysteresis() || fleet.settings.exceedsMoveCost(Math.min(unserved, perCopy));
    }

    private boolean add(int engine, int model) {
        if (engine == EngineChooser.NO_ENGINE) {
            return false;
        }
        draft.add(engine, model);
        if (draft.copies(model) <= PlacementSettings.DESIRED_COPIES) {
            for (int adapter : fleet.adaptersOf[model]) {
                draft.addAdapterIfItFits(engine, adapter);
            }
        }
        return true;
    }

    private long missingAdapterMemory(int model) {
        long memory = 0;
        for (int adapter : fleet.adaptersOf[model]) {
            boolean missing = draft.enginesOfAdapter(adapter).size() < PlacementSettings.ADAPTER_COPIES;
            memory += missing ? fleet.adapterMemory(adapter) : 0;
        }
        return memory;
    }

    /** Places adapters that lack copies on engines that hold their base model. */
    void placeAdapters() {
        for (int adapter = 0; adapter < fleet.adapters.size(); adapter++) {
            if (fleet.baseOf[adapter] < 0) {
                continue;
            }
            boolean added = true;
            while (added && draft.enginesOfAdapter(adapter).size() < PlacementSettings.ADAPTER_COPIES) {
                added = addAdapter(adapter);
            }
            if (draft.enginesOfAdapter(adapter).size() == 0 || draft.blocksNewVersion(adapter)) {
                evictForAdapter(adapter);
            }
        }
    }

    private boolean addAdapter(int adapter) {
        IntList engines = draft.enginesOf(fleet.baseOf[adapter]);
        int best = EngineChooser.NO_ENGINE;
        int bestDomain = Integer.MAX_VALUE;
        for (int index = 0; index < engines.size(); index++) {
            int engine = engines.get(index);
            int domain = copiesInDomain(adapter, fleet.domainOf[engine]);
            boolean better = domain < bestDomain
                    || (domain == bestDomain && draft.freeMegabytes(engine) > draft.freeMegabytes(best));
            boolean fits = draft.freeMegabytes(engine) >= fleet.adapterMemory(adapter);
            if (fits && better && !draft.adaptersOn(engine).contains(adapter)) {
                best = engine;
                bestDomain = domain;
            }
        }
        return best != EngineChooser.NO_ENGINE && draft.addAdapterIfItFits(best, adapter);
    }

    private int copiesInDomain(int adapter, int domain) {
        IntList engines = draft.enginesOfAdapter(adapter);
        int copies = 0;
        for (int index = 0; index < engines.size(); index++) {
            copies += fleet.domainOf[engines.get(index)] == domain ? 1 : 0;
        }
        return copies;
    }

    private void evictForAdapter(int adapter) {
        int base = fleet.baseOf[adapter];
        for (int engine : draft.enginesOf(base).toSortedArray()) {
            boolean room = !draft.adaptersOn(engine).contains(adapter)
                    && chooser.freeMemory(engine, fleet.adapterMemory(adapter), base);
            if (room && draft.addAdapterIfItFits(engine, adapter)) {
                return;
            }
        }
    }

    /** Moves copies away from engines whose demand exceeds their capacity, where that pays off. */
    void rebalance() {
        draft.recomputeLoad();
        double capacity = fleet.settings.engineTokensPerSecond();
        int[] overloaded = IntStream.range(0, fleet.usable.length)
                .filter(engine -> fleet.usable[engine] && draft.load(engine) > capacity)
                .boxed()
                .sorted(Comparator.comparingDouble((Integer engine) -> -draft.load(engine))
                        .thenComparingInt(engine -> engine))
                .limit(fleet.settings.maximumMoves())
                .mapToInt(Integer::intValue)
                .toArray();
        for (int engine : overloaded) {
            moveBestModel(engine);
        }
    }

    private void moveBestModel(int source) {
        int bestModel = -1;
        int bestTarget = EngineChooser.NO_ENGINE;
        double bestGain = 0;
        for (int model : draft.modelsOn(source).toSortedArray()) {
            int target = chooser.isEvictable(source, model)
                    ? chooser.selectWithFreeMemory(model, fleet.modelMemory(model), CopyRank.DEMAND)
                    : EngineChooser.NO_ENGINE;
            if (target != EngineChooser.NO_ENGINE) {
                double share = fleet.demand[model] / draft.copies(model);
                double gain = overload(draft.load(source))
                        - overload(draft.load(source) - share)
                        - (overload(draft.load(target) + share) - overload(draft.load(target)));
                if (gain > bestGain) {
                    bestGain = gain;
                    bestModel = model;
                    bestTarget = target;
                }
            }
        }
        if (fleet.settings.exceedsMoveCost(bestGain) && bestTarget != EngineChooser.NO_ENGINE) {
            move(bestModel, source, bestTarget);
        }
    }

    private void move(int model, int source, int target) {
        double share = fleet.demand[model] / draft.copies(model);
        draft.remove(source, model);
        add(target, model);
        // The draft counted the planned share of the model, which differs when not all wanted copies are present.
        draft.addLoad(source, draft.plannedDemandPerCopy(model) - share);
        draft.addLoad(target, share - draft.plannedDemandPerCopy(model));
    }

    private double overload(double load) {
        return Math.max(0, load - fleet.settings.engineTokensPerSecond());
    }
}
