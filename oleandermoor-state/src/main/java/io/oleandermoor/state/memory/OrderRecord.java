package io.oleandermoor.state.memory;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Write-ahead record of the orders to one engine: all weights that may be resident and all orders that may still take
 * effect. Written before an order is sent and read by the next agent. Contains no times, because agents share no clock.
 *
 * @param term the fencing number of the agent that wrote the record; 0 if no agent has written it
 * @param sequence the highest sequence number of an order so far
 * @param entries one entry per model or adapter version, in the order of {@link Weights#ORDER}
 */
public record OrderRecord(
        @JsonProperty("term") long term,
        @JsonProperty("sequence") long sequence,
        @JsonProperty("entries") List<Entry> entries) {

    /** Makes a defensive copy of the entries. */
    public OrderRecord {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the record of an upstream that never had an agent.
     *
     * @return a record of term 0 without entries
     */
    public static OrderRecord empty() {
        return new OrderRecord(0, 0, List.of());
    }

    /**
     * State of one version of a model or adapter.
     *
     * @param weights the weights
     * @param memoryMegabytes memory that the weights occupy, in megabytes
     * @param counted whether the weights may be resident or become resident
     * @param loadTerm the term of the last order to load them; 0 if there is none
     * @param unloadTerm the term of the last order to unload them; 0 if there is none
     */
    public record Entry(
            @JsonProperty("weights") Weights weights,
            @JsonProperty("memory") long memoryMegabytes,
            @JsonProperty("counted") boolean counted,
            @JsonProperty("load") long loadTerm,
            @JsonProperty("unload") long unloadTerm) {}
}
