/** The load tool: open-loop traffic against entries or an engine stand-in, with a check of every answer. */
@NullMarked
package io.oleandermoor.standin.load;

import org.jspecify.annotations.NullMarked;
