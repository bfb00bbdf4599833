/**
 * Placement of models and adapters on engines: the plan, the safe steps towards it, the load limits of the weight
 * store, and the demand forecast.
 */
@NullMarked
package io.oleandermoor.state.placement;

import org.jspecify.annotations.NullMarked;
