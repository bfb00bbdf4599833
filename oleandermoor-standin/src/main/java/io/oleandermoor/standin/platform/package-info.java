/** Stand-ins for the platform: instance list, key-value service and weight store. */
@NullMarked
package io.oleandermoor.standin.platform;

import org.jspecify.annotations.NullMarked;
