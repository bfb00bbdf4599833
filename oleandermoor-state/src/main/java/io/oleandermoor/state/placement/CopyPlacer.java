package io.oleandermoor.state.placement;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/** Completes a draft with required copies, desired copies, copies for demand, and adapters, in this order. */
final class CopyPlacer {
    private final IndexedFleet fleet;
    private final PlanDraft draft;
    private final EngineChooser chooser;

    CopyPlacer(IndexedFleet fleet, PlanDraft draft, boolean packing) {
        this.fleet = fleet;
        this.draft = draft;
        chooser = new EngineChooser(fleet, draft, packing);
    }

    /** Places the given models as far as memory allows. */
    void place(int[] models, Comparator<Integer> requiredOrder) {
        if (!fleet.policy.hasHysteresis()) {
            IntStream.of(models).forEach(this::removeSurplus);
        }
        IntStream.of(models).boxed().sorted(requiredOrder).forEach(this::placeRequired);
        placeDesired(models);
        placeForDemand(models);
    }

    /** Orders models by memory, largest first, because small models fit into the memory that large ones leave. */
    static Comparator<Integer> largestFirst(IndexedFleet fleet) {
        return Comparator.comparingLong((Integer model) -> -fleet.modelMemory(model))
                .thenComparingDouble(model -> -fleet.demand[model])
                .thenComparingInt(model -> model);
    }

    /** Orders models by memory, smallest first, which places most models if not all fit. */
    static Comparator<Integer> smallestFirst(IndexedFleet fleet) {
        return Comparator.comparingLong((Integer model) -> fleet.modelMemory(model))
                .thenComparingDouble(model -> -fleet.demand[model])
                .thenComparingInt(model -> model);
    }

    private void removeSurplus(int model) {
        while (draft.copies(model) > fleet.targetCopies[model]) {
            int mostLoaded = EngineChooser.NO_ENGINE;
            for (int index = 0; index < draft.copies(model); index++) {
                int engine = draft.enginesOf(model).get(index);
                boolean hasMoreLoad =
                        mostLoaded == EngineChooser.NO_ENGINE || draft.load(engine) > draft.load(mostLoaded);
                if (hasMoreLoad && chooser.isEvictable(engine, model)) {
                    mostLoaded = engine;
                }
            }
            if (mostLoaded == EngineChooser.NO_ENGINE) {
                return;
            }
            draft.remove(mostLoaded, model);
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
        return draft.lacksMemoryForNewVersion(model) ? 2 : 1;
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
        record QueuedModel(int model, double demandPerCopy) {}
        PriorityQueue<QueuedModel> queue =
                new PriorityQueue<>(Comparator.comparingDouble((QueuedModel queued) -> -queued.demandPerCopy())
                        .thenComparingInt(QueuedModel::model));
        for (int model : models) {
            queue.add(new QueuedModel(model, fleet.demand[model] / Math.max(1, draft.copies(model))));
        }
        while (!queue.isEmpty()) {
            int model = queue.remove().model();
            if (needsCopyForDemand(model)) {
                int engine = chooser.selectWithFreeMemory(model, fleet.modelMemory(model), CopyRank.DEMAND);
                if (engine == EngineChooser.NO_ENGINE) {
                    engine = chooser.selectWithEviction(model, fleet.modelMemory(model), CopyRank.DEMAND);
                }
                if (add(engine, model)) {
                    queue.add(new QueuedModel(model, fleet.demand[model] / draft.copies(model)));
                }
            }
        }
    }

    private boolean needsCopyForDemand(int model) {
        if (draft.copies(model) == 0 || draft.copies(model) >= fleet.targetCopies[model]) {
            return false;
        }
        double capacityPerCopy = fleet.settings.engineTokensPerSecond() * fleet.settings.targetUtilization();
        double unservedDemand = fleet.demand[model] - draft.copies(model) * capacityPerCopy;
        return !fleet.policy.hasHysteresis()
                || fleet.settings.exceedsMoveCost(Math.min(unservedDemand, capacityPerCopy));
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

    /** Places missing copies of adapters on engines that hold their base model. */
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
            boolean hasMemory = !draft.adaptersOn(engine).contains(adapter)
                    && chooser.freeMemory(engine, fleet.adapterMemory(adapter), base);
            if (hasMemory && draft.addAdapterIfItFits(engine, adapter)) {
                return;
            }
        }
    }

    /** Moves copies from engines whose load exceeds their capacity if the gain exceeds the cost of the move. */
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
                double demandPerCopy = fleet.demand[model] / draft.copies(model);
                double gain = overload(draft.load(source))
                        - overload(draft.load(source) - demandPerCopy)
                        - (overload(draft.load(target) + demandPerCopy) - overload(draft.load(target)));
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
        double demandPerCopy = fleet.demand[model] / draft.copies(model);
        draft.remove(source, model);
        add(target, model);
        // The draft applied the planned demand per copy, which differs from this one if copies are missing.
        draft.addLoad(source, draft.plannedDemandPerCopy(model) - demandPerCopy);
        draft.addLoad(target, demandPerCopy - draft.plannedDemandPerCopy(model));
    }

    private double overload(double load) {
        return Math.max(0, load - fleet.settings.engineTokensPerSecond());
    }
}
