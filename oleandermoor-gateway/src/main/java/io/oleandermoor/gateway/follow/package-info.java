/** Follows the platform's store: configuration, instances and the other entries. */
@NullMarked
package io.oleandermoor.gateway.follow;

import org.jspecify.annotations.NullMarked;
