/** Watches the configuration, the instances and the other entries in the platform's store. */
@NullMarked
package io.oleandermoor.gateway.follow;

import org.jspecify.annotations.NullMarked;
