/** The accepted changes of the configuration in order, and the version in force in this process. */
@NullMarked
package io.oleandermoor.coordination.configuration;

import org.jspecify.annotations.NullMarked;
