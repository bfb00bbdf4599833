package io.oleandermoor.coordination.dissemination;

/**
 * Statement that a version of the configuration was current.
 *
 * @param version the version
 * @param ageMillis time since the key-value service confirmed it, by the clock of the sender
 */
public record ConfirmedVersion(long version, long ageMillis) {}
