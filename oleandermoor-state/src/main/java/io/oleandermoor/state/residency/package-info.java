/** Decisions about which model engine holds which models and adapters. */
@NullMarked
package io.oleandermoor.state.residency;

import org.jspecify.annotations.NullMarked;
