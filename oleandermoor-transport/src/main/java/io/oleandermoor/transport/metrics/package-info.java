/** Prometheus metrics of a process. */
@NullMarked
package io.oleandermoor.transport.metrics;

import org.jspecify.annotations.NullMarked;
