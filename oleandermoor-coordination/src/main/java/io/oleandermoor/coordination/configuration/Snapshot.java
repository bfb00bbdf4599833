package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.ConfigurationDocument;
import java.util.Map;

/**
 * Content of a snapshot.
 *
 * @param document the configuration
 * @param changeIds the last accepted change ids with their versions, by which repeated calls are recognized
 */
record Snapshot(ConfigurationDocument document, Map<String, Long> changeIds) {}
