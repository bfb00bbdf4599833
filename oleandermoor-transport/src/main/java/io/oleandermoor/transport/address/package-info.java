/** Network addresses. */
@NullMarked
package io.oleandermoor.transport.address;

import org.jspecify.annotations.NullMarked;
