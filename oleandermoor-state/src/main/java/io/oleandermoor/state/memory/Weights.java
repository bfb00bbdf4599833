package io.oleandermoor.state.memory;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Comparator;

/** The weights of one version of a model or adapter, which an engine loads and unloads as a unit. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ModelVersion.class, name = "model"),
    @JsonSubTypes.Type(value = AdapterVersion.class, name = "adapter")
})
public sealed interface Weights permits ModelVersion, AdapterVersion {

    /** Orders models before adapters, then by name and version. Gives records and plans a deterministic order. */
    Comparator<Weights> ORDER = Comparator.comparing(Weights::isAdapter)
            .thenComparing(Weights::nameText)
            .thenComparing(Weights::version);

    /**
     * Returns the version.
     *
     * @return the version of the weights
     */
    String version();

    /**
     * Returns the name of the model or adapter as text.
     *
     * @return the value of the model or adapter name
     */
    @JsonIgnore
    String nameText();

    /**
     * Returns whether these are the weights of an adapter.
     *
     * @return false for a model
     */
    @JsonIgnore
    boolean isAdapter();
}
