/** Planning of the models and adapters that each model engine holds. */
@NullMarked
package io.oleandermoor.state.residency;

import org.jspecify.annotations.NullMarked;
