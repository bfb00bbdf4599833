package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Weights;

/**
 * Wish of an agent to load from the weight store.
 *
 * @param upstream the engine that is to load
 * @param weights what it is to load
 * @param otherCopies copies of the model or adapter that are ready or being loaded elsewhere; fewer come first
 * @param demand tokens/s asked of the model; more comes first among equal copies
 */
public record LoadPermitRequest(UpstreamId upstream, Weights weights, int otherCopies, double demand) {}
