/** The versioned configuration that operators hand over and the changes that lead from one version to the next. */
@NullMarked
package io.oleandermoor.state.configuration;

import org.jspecify.annotations.NullMarked;
