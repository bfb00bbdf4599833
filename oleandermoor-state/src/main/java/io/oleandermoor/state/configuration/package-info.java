/** The versioned configuration that operators provide, its validation, and the changes that produce a new version. */
@NullMarked
package io.oleandermoor.state.configuration;

import org.jspecify.annotations.NullMarked;
