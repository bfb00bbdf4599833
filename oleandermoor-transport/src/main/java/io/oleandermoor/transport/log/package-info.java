/** Log lines of key=value pairs. */
@NullMarked
package io.oleandermoor.transport.log;

import org.jspecify.annotations.NullMarked;
