/** Decisions about a single request: which instance runs it, and whether it is queued, retried or refused. */
@NullMarked
package io.oleandermoor.state.dispatch;

import org.jspecify.annotations.NullMarked;
