/** The operators' description of a deployment: its routes, services, teams, models and instances. */
@NullMarked
package io.oleandermoor.state.fleet;

import org.jspecify.annotations.NullMarked;
