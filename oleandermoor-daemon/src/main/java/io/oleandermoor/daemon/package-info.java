/** Root of the daemon module. */
@NullMarked
package io.oleandermoor.daemon;

import org.jspecify.annotations.NullMarked;
