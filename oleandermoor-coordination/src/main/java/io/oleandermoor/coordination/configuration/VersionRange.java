package io.oleandermoor.coordination.configuration;

/**
 * Versions that are missing before later ones can be applied.
 *
 * @param first the first missing version
 * @param last the last missing version
 */
public record VersionRange(long first, long last) {}
