/** The interface to the platform's key-value service. */
@NullMarked
package io.oleandermoor.coordination.store;

import org.jspecify.annotations.NullMarked;
