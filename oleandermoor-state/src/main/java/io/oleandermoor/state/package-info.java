/** Value types and deterministic decision logic without clocks, threads, random sources or sockets. */
@NullMarked
package io.oleandermoor.state;

import org.jspecify.annotations.NullMarked;
