/** Root of the replay module. */
@NullMarked
package io.oleandermoor.replay;

import org.jspecify.annotations.NullMarked;
