/** A stand-in for a model engine. */
@NullMarked
package io.oleandermoor.standin.engine;

import org.jspecify.annotations.NullMarked;
