package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Determines which models fit into the weight memory of an engine. */
final class EngineMemory {

    private final EngineProfile profile;
    private final double adapterReserveMegabytes;

    EngineMemory(EngineProfile profile) {
        this.profile = profile;
        double largestAdapterMegabytes = profile.models().values().stream()
                .mapToDouble(ModelProfile::adapterMegabytes)
                .max()
                .orElse(0);
        // The memory for all adapter slots is reserved, so that loading an adapter never requires evicting a model.
        this.adapterReserveMegabytes = largestAdapterMegabytes * profile.adapterSlots();
    }

    boolean fits(EngineView engine, String model) {
        return fitsAfterEviction(engine, List.of(), model);
    }

    /** Returns whether a model fits once other models are evicted together with their adapters. */
    boolean fitsAfterEviction(EngineView engine, Collection<String> victims, String model) {
        double usedMegabytes = 0;
        for (Map.Entry<String, Set<String>> held : engine.models().entrySet()) {
            if (!victims.contains(held.getKey())) {
                usedMegabytes += megabytes(held.getKey());
            }
        }
        return usedMegabytes + adapterReserveMegabytes + megabytes(model) <= profile.weightMemoryMegabytes();
    }

    private double megabytes(String model) {
        ModelProfile modelProfile = profile.models().get(model);
        return modelProfile == null ? 0 : modelProfile.weightMegabytes();
    }
}
