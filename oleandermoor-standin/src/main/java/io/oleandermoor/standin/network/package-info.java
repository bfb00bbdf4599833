/** Failures of the network between two processes. */
@NullMarked
package io.oleandermoor.standin.network;

import org.jspecify.annotations.NullMarked;
