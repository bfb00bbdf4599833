/** Clients of the platform: the key-value service and the instance list. */
@NullMarked
package io.oleandermoor.transport.platform;

import org.jspecify.annotations.NullMarked;
