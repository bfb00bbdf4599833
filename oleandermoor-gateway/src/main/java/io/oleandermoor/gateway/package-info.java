/** The entry on the platform: a single process with one event loop. */
@NullMarked
package io.oleandermoor.gateway;

import org.jspecify.annotations.NullMarked;
