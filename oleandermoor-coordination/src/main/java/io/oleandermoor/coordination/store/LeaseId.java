package io.oleandermoor.coordination.store;

/**
 * Identifier of a lease at the key-value service.
 *
 * @param value the number that the service assigned
 */
public record LeaseId(long value) {}
