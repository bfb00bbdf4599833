/** Keeps which software version began each stream, and which versions of a service have been in use. */
@NullMarked
package io.oleandermoor.gateway.version;

import org.jspecify.annotations.NullMarked;
