/** Evacuation of failure domains: when nothing more may be sent to their instances. */
@NullMarked
package io.oleandermoor.state.evacuation;

import org.jspecify.annotations.NullMarked;
