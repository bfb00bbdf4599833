/**
 * Token rates of teams over all entries: the owner that hands out grants, the client in each entry, and the fixed-share
 * baseline.
 */
@NullMarked
package io.oleandermoor.state.rate;

import org.jspecify.annotations.NullMarked;
