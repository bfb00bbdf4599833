/** Which processes are present, ready or leaving, and the rules that depend on it. */
@NullMarked
package io.oleandermoor.coordination.membership;

import org.jspecify.annotations.NullMarked;
