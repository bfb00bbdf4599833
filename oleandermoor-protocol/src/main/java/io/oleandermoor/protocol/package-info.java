/** Messages between the processes of the system. */
@NullMarked
package io.oleandermoor.protocol;

import org.jspecify.annotations.NullMarked;
