/** Carries out the decisions about rates: the client in each entry and the elected owners. */
@NullMarked
package io.oleandermoor.daemon.rate;

import org.jspecify.annotations.NullMarked;
