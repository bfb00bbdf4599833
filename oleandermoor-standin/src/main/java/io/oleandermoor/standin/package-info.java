/** Small stand-ins for the systems around oleandermoor, for tests and local trials. */
@NullMarked
package io.oleandermoor.standin;

import org.jspecify.annotations.NullMarked;
