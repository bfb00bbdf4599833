package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings that apply to the whole fleet rather than to one team, model or route. A missing part has its default.
 *
 * @param admission how waiting requests are ordered and refused
 * @param weightStore limits of the weight store
 * @param openingHours hours of live demand of groups of teams; a team in no group counts as always open
 */
public record FleetSettings(
        AdmissionSettings admission, WeightStoreLimits weightStore, List<OpeningHours> openingHours) {

    /** Settings in force until an operator sets others. */
    public static final FleetSettings DEFAULT = new FleetSettings(null, null, null);

    /** Copies the list and sets the defaults. */
    public FleetSettings(
            @JsonProperty("admission") @Nullable AdmissionSettings admission,
            @JsonProperty("weightStore") @Nullable WeightStoreLimits weightStore,
            @JsonProperty("openingHours") @Nullable List<OpeningHours> openingHours) {
        this.admission = admission == null ? AdmissionSettings.DEFAULT : admission;
        this.weightStore = weightStore == null ? WeightStoreLimits.DEFAULT : weightStore;
        this.openingHours = openingHours == null ? List.of() : List.copyOf(openingHours);
    }
}
