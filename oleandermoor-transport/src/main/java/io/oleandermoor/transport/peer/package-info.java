/**
 * Connections between the processes of the system: length-prefixed protobuf messages over TCP with heartbeats in both
 * directions.
 */
@NullMarked
package io.oleandermoor.transport.peer;

import org.jspecify.annotations.NullMarked;
