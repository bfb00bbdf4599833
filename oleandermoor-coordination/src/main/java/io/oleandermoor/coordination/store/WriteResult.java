package io.oleandermoor.coordination.store;

/**
 * Answer to a conditional write.
 *
 * @param applied true if the condition held and the write took effect
 * @param revision the revision of the write, or the service's current revision if it was not applied
 */
public record WriteResult(boolean applied, long revision) {}
