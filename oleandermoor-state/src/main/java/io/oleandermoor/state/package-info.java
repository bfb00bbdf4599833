/** Typed values and pure decision cores, without clocks, threads, random sources or sockets. */
@NullMarked
package io.oleandermoor.state;

import org.jspecify.annotations.NullMarked;
