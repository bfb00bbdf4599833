/** Rate limits of teams that all entries share by exchanging the number of granted tokens. */
@NullMarked
package io.oleandermoor.state.share;

import org.jspecify.annotations.NullMarked;
