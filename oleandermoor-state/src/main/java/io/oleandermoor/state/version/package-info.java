/** Which version of its software an instance runs, and at which of them a stream may go on. */
@NullMarked
package io.oleandermoor.state.version;

import org.jspecify.annotations.NullMarked;
