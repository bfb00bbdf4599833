/** The daemons: they wire the decision cores to the transport. */
@NullMarked
package io.oleandermoor.daemon;

import org.jspecify.annotations.NullMarked;
