/** Plans and sends orders to model engines while this entry holds the order lease. */
@NullMarked
package io.oleandermoor.gateway.order;

import org.jspecify.annotations.NullMarked;
