/**
 * Token rate limits of teams across all entries: the owner that grants tokens, the client in each entry, and the
 * fixed-share baseline.
 */
@NullMarked
package io.oleandermoor.state.rate;

import org.jspecify.annotations.NullMarked;
