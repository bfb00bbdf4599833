/** Restriction of requests to the instances of some regions. */
@NullMarked
package io.oleandermoor.state.region;

import org.jspecify.annotations.NullMarked;
