/** Estimation of token counts. */
@NullMarked
package io.oleandermoor.state.token;

import org.jspecify.annotations.NullMarked;
