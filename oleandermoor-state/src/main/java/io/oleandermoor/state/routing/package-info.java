/**
 * Selection of an upstream for a request, based on the ready copies, load, prefix affinity, slow start and outlier
 * ejection. Implements section 4.3 of the design.
 */
@NullMarked
package io.oleandermoor.state.routing;

import org.jspecify.annotations.NullMarked;
