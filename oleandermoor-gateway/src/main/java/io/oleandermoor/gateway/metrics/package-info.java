/** Counters of what an entry decides and learns, for operators. */
@NullMarked
package io.oleandermoor.gateway.metrics;

import org.jspecify.annotations.NullMarked;
