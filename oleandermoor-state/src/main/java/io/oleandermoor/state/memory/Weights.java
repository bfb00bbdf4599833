package io.oleandermoor.state.memory;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Comparator;

/** What an engine loads and unloads: one version of a model or of an adapter. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ModelVersion.class, name = "model"),
    @JsonSubTypes.Type(value = AdapterVersion.class, name = "adapter")
})
public sealed interface Weights permits ModelVersion, AdapterVersion {

    /** Models before adapters, then by name and version. Keeps the content of records and plans in a fixed order. */
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
     * Returns the name without its type.
     *
     * @return the text of the model's or adapter's name
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
