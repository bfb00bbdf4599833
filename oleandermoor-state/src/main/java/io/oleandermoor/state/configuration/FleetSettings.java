package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings that apply to the whole fleet rather than to one team, model or route. A missing part has its default value.
 *
 * @param admission how waiting requests are ordered and refused
 * @param weightStore limits of the weight store
 * @param openingHours the hours of live demand for groups of teams; a team without a group is considered always open
 */
public record FleetSettings(
        AdmissionSettings admission, WeightStoreLimits weightStore, List<OpeningHours> openingHours) {

    /** Settings used until an operator sets others. */
    public static final FleetSettings DEFAULT = new FleetSettings(null, null, null);

    /** Copies the list and replaces missing parts by their defaults. */
    public FleetSettings(
            @JsonProperty("admission") @Nullable AdmissionSettings admission,
            @JsonProperty("weightStore") @Nullable WeightStoreLimits weightStore,
            @JsonProperty("openingHours") @Nullable List<OpeningHours> openingHours) {
        this.admission = admission == null ? AdmissionSettings.DEFAULT : admission;
        this.weightStore = weightStore == null ? WeightStoreLimits.DEFAULT : weightStore;
        this.openingHours = openingHours == null ? List.of() : List.copyOf(openingHours);
    }
}
