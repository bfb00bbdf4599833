/** Limits how many requests reach an instance that has just started and does not yet tolerate its full rate. */
@NullMarked
package io.oleandermoor.state.coldstart;

import org.jspecify.annotations.NullMarked;
