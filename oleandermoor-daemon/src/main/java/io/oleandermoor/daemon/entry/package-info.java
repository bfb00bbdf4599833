/** The entry: accepts requests of callers and sends them to agents. */
@NullMarked
package io.oleandermoor.daemon.entry;

import org.jspecify.annotations.NullMarked;
