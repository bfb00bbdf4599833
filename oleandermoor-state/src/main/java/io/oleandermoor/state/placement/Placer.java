package io.oleandermoor.state.placement;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/** Completes a draft: first copies, further copies, copies for demand, adapters. */
final class Placer {
    private final IndexedFleet fleet;
    private final Draft draft;
    private final EngineChooser chooser;

    Placer(IndexedFleet fleet, Draft draft, boolean packs) {
        this.fleet = fleet;
        this.draft = draft;
        chooser = new EngineChooser(fleet, draft, packs);
    }

    /** Places the given models as far as memory allows. */
    void place(int[] models, Comparator<Integer> firstOrder) {
        if (!fleet.policy.hasHysteresis()) {
            IntStream.of(models).forEach(this::dropSurplus);
        }
        IntStream.of(models).boxed().sorted(firstOrder).forEach(this::placeFirst);
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

    private void dropSurplus(int model) {
        while (draft.copies(model) > fleet.target[model]) {
            int most = EngineChooser.NONE;
            for (int index = 0; index < draft.copies(model); index++) {
                int engine = draft.enginesOf(model).get(index);
                boolean more = most == EngineChooser.NONE || draft.load(engine) > draft.load(most);
                if (more && chooser.mayBeGivenUp(engine, model)) {
                    most = engine;
                }
            }
            if (most == EngineChooser.NONE) {
                return;
            }
            draft.remove(most, model);
        }
    }

    private void placeFirst(int model) {
        while (draft.copies(model) < requiredCopies(model)) {
            long memory = fleet.modelMemory(model);
            long withAdapters = memory + missingAdapterMemory(model);
            int engine = chooser.withFreeMemory(model, withAdapters, CopyRank.ONLY);
            if (engine == EngineChooser.NONE && withAdapters > memory) {
                engine = chooser.withEviction(model, withAdapters, CopyRank.ONLY);
            }
            if (engine == EngineChooser.NONE) {
                engine = chooser.withFreeMemory(model, memory, CopyRank.ONLY);
            }
            if (engine == EngineChooser.NONE) {
                engine = chooser.withEviction(model, memory, CopyRank.ONLY);
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
                if (draft.copies(model) == copies && copies < fleet.desired[model]) {
                    placed |= placeDesired(model);
                }
            }
        }
    }

    private boolean placeDesired(int model) {
        long memory = fleet.modelMemory(model);
        int engine = chooser.withFreeMemory(model, memory + missingAdapterMemory(model), CopyRank.DESIRED);
        if (engine == EngineChooser.NONE) {
            engine = chooser.withFreeMemory(model, memory, CopyRank.DESIRED);
        }
        if (engine == EngineChooser.NONE) {
            engine = chooser.withEviction(model, memory, CopyRank.DESIRED);
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
                int engine = chooser.withFreeMemory(model, fleet.modelMemory(model), CopyRank.DEMAND);
                if (engine == EngineChooser.NONE) {
                    engine = chooser.withEviction(model, fleet.modelMemory(model), CopyRank.DEMAND);
                }
                if (add(engine, model)) {
                    needs.add(new Need(model, fleet.demand[model] / draft.copies(model)));
                }
            }
        }
    }

    private boolean needsCopyForDemand(int model) {
        if (draft.copies(model) == 0 || draft.copies(model) >= fleet.target[model]) {
            return false;
        }
        double perCopy = fleet.settings.engineTokensPerSecond() * fleet.settings.targetUtilization();
        double unserved = fleet.demand[model] - draft.copies(model) * perCopy;
        return !fleet.policy.hasHysteresis() || fleet.settings.paysOff(Math.min(unserved, perCopy));
    }

    private boolean add(int engine, int model) {
        if (engine == EngineChooser.NONE) {
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
            if (draft.enginesOfAdapter(adapter).size() == 0 || draft.holdsBackNewVersion(adapter)) {
                makeRoomForAdapter(adapter);
            }
        }
    }

    private boolean addAdapter(int adapter) {
        IntList engines = draft.enginesOf(fleet.baseOf[adapter]);
        int best = EngineChooser.NONE;
        int bestDomain = Integer.MAX_VALUE;
        for (int index = 0; index < engines.size(); index++) {
            int engine = engines.get(index);
            int domain = copiesInDomain(adapter, fleet.domain[engine]);
            boolean better = domain < bestDomain || (domain == bestDomain && draft.free(engine) > draft.free(best));
            boolean fits = draft.free(engine) >= fleet.adapterMemory(adapter);
            if (fits && better && !draft.adaptersOn(engine).contains(adapter)) {
                best = engine;
                bestDomain = domain;
            }
        }
        return best != EngineChooser.NONE && draft.addAdapterIfItFits(best, adapter);
    }

    private int copiesInDomain(int adapter, int domain) {
        IntList engines = draft.enginesOfAdapter(adapter);
        int copies = 0;
        for (int index = 0; index < engines.size(); index++) {
            copies += fleet.domain[engines.get(index)] == domain ? 1 : 0;
        }
        return copies;
    }

    private void makeRoomForAdapter(int adapter) {
        int base = fleet.baseOf[adapter];
        for (int engine : draft.enginesOf(base).toSortedArray()) {
            boolean room = !draft.adaptersOn(engine).contains(adapter)
                    && chooser.makeRoom(engine, fleet.adapterMemory(adapter), base);
            if (room && draft.addAdapterIfItFits(engine, adapter)) {
                return;
            }
        }
    }

    /** Moves copies away from engines whose demand exceeds their capacity, where that pays off. */
    void rebalance() {
        draft.settleLoad();
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
            moveOneAway(engine);
        }
    }

    private void moveOneAway(int source) {
        int bestModel = -1;
        int bestTarget = EngineChooser.NONE;
        double bestGain = 0;
        for (int model : draft.modelsOn(source).toSortedArray()) {
            int target = chooser.mayBeGivenUp(source, model)
                    ? chooser.withFreeMemory(model, fleet.modelMemory(model), CopyRank.DEMAND)
                    : EngineChooser.NONE;
            if (target != EngineChooser.NONE) {
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
        if (fleet.settings.paysOff(bestGain) && bestTarget != EngineChooser.NONE) {
            move(bestModel, source, bestTarget);
        }
    }

    private void move(int model, int source, int target) {
        double share = fleet.demand[model] / draft.copies(model);
        draft.remove(source, model);
        add(target, model);
        // The draft counted the planned share of the model, which differs when not all wanted copies are present.
        draft.addLoad(source, draft.plannedShare(model) - share);
        draft.addLoad(target, share - draft.plannedShare(model));
    }

    private double overload(double load) {
        return Math.max(0, load - fleet.settings.engineTokensPerSecond());
    }
}
