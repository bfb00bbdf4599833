/** Rendezvous hashing, by which all processes choose the same few members without asking anyone. */
@NullMarked
package io.oleandermoor.coordination.selection;

import org.jspecify.annotations.NullMarked;
