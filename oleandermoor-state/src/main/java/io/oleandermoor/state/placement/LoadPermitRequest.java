package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Weights;

/**
 * Request of an agent for a permit to load from the weight store.
 *
 * @param upstream the engine that is to load the weights
 * @param weights the model or adapter to load
 * @param otherCopies copies of the model or adapter that are ready or being loaded elsewhere; fewer are more urgent
 * @param demand demand for the model in tokens/s; among requests with equally many copies, more is more urgent
 */
public record LoadPermitRequest(UpstreamId upstream, Weights weights, int otherCopies, double demand) {}
