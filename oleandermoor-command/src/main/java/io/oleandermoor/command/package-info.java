/** The {@code oleandermoor} command line: checks, administration of a running deployment, and start of processes. */
@NullMarked
package io.oleandermoor.command;

import org.jspecify.annotations.NullMarked;
