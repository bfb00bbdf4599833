package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import java.util.Map;
import java.util.Set;

/** What fits into the memory for weights of an engine. */
final class EngineMemory {

    private final EngineProfile profile;
    private final double adapterReserveMegabytes;

    EngineMemory(EngineProfile profile) {
        this.profile = profile;
        double largest = profile.models().values().stream()
                .mapToDouble(ModelProfile::adapterMegabytes)
                .max()
                .orElse(0);
        // The memory that adapters may take later is kept free, so that loading one never needs a model to yield.
        this.adapterReserveMegabytes = largest * profile.adapterSlots();
    }

    boolean fits(EngineView engine, String model) {
        return fitsAfterEviction(engine, "", model);
    }

    /** Returns whether a model fits once another one, if any, has yielded with its adapters. */
    boolean fitsAfterEviction(EngineView engine, String yielding, String model) {
        double used = 0;
        for (Map.Entry<String, Set<String>> held : engine.models().entrySet()) {
            if (!held.getKey().equals(yielding)) {
                used += megabytes(held.getKey());
            }
        }
        return used + adapterReserveMegabytes + megabytes(model) <= profile.weightMegabytes();
    }

    private double megabytes(String model) {
        ModelProfile known = profile.models().get(model);
        return known == null ? 0 : known.megabytes();
    }
}
