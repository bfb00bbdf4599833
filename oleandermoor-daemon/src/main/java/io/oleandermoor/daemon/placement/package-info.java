/** Carries out placement: the elected owner in an entry, and the execution of its steps in each agent. */
@NullMarked
package io.oleandermoor.daemon.placement;

import org.jspecify.annotations.NullMarked;
