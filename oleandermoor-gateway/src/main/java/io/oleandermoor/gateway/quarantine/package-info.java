/** Recognizes requests that end instances, together with the other entries, and keeps them from being sent. */
@NullMarked
package io.oleandermoor.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
