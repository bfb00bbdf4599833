/** Decisions about one request: which instance runs it, whether it waits, is repeated or is refused. */
@NullMarked
package io.oleandermoor.state.dispatch;

import org.jspecify.annotations.NullMarked;
