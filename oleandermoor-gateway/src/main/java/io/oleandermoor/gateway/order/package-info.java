/** Gives orders to model engines while this entry holds the lease for it. */
@NullMarked
package io.oleandermoor.gateway.order;

import org.jspecify.annotations.NullMarked;
