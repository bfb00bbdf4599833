/** Epidemic dissemination of versioned items among all processes. */
@NullMarked
package io.oleandermoor.coordination.dissemination;

import org.jspecify.annotations.NullMarked;
