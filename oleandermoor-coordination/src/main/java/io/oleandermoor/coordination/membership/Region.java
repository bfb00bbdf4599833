package io.oleandermoor.coordination.membership;

/**
 * A group of failure domains that are close to each other.
 *
 * @param name the name
 */
public record Region(String name) {}
