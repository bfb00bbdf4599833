/** One owner per name through a lease at the key-value service, safe when a process is paused or cut off. */
@NullMarked
package io.oleandermoor.coordination.lease;

import org.jspecify.annotations.NullMarked;
