/** The administration port that all daemons have: health, metrics, and what a role adds. */
@NullMarked
package io.oleandermoor.daemon.health;

import org.jspecify.annotations.NullMarked;
