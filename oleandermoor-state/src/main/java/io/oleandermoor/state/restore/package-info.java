/** What holds after the platform's store was restored from a copy that lacks its latest writes. */
@NullMarked
package io.oleandermoor.state.restore;

import org.jspecify.annotations.NullMarked;
