/** JSON that is passed on: its numbers are kept as they are. */
@NullMarked
package io.oleandermoor.transport.json;

import org.jspecify.annotations.NullMarked;
