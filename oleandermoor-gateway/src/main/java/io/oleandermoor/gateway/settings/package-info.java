/** Settings of an entry that runs on the platform. */
@NullMarked
package io.oleandermoor.gateway.settings;

import org.jspecify.annotations.NullMarked;
