/** The settings of an entry on the platform. */
@NullMarked
package io.oleandermoor.gateway.settings;

import org.jspecify.annotations.NullMarked;
