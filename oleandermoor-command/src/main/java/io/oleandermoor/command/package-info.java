/** Root of the command module. */
@NullMarked
package io.oleandermoor.command;

import org.jspecify.annotations.NullMarked;
