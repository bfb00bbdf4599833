/** The entry on the platform: one process, one event loop. */
@NullMarked
package io.oleandermoor.gateway;

import org.jspecify.annotations.NullMarked;
