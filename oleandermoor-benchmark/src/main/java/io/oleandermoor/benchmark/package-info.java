/** Root of the benchmark module. */
@NullMarked
package io.oleandermoor.benchmark;

import org.jspecify.annotations.NullMarked;
