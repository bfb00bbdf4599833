package io.oleandermoor.coordination.dissemination;

/**
 * Name and version of an item that the sender of a message has.
 *
 * @param name the name
 * @param version the version
 */
public record ItemVersion(String name, long version) {}
