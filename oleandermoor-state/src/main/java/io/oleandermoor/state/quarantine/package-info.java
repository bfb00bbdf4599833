/**
 * Decisions about requests that end the instances that run them: which properties such requests share, and which
 * requests are therefore not sent.
 */
@NullMarked
package io.oleandermoor.state.quarantine;

import org.jspecify.annotations.NullMarked;
