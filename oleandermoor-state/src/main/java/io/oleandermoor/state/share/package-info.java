/** A team's rate and burst, shared by all entries through exchanged counts. */
@NullMarked
package io.oleandermoor.state.share;

import org.jspecify.annotations.NullMarked;
