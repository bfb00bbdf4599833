/** An entry's local view of its deployment, and the age of that view. */
@NullMarked
package io.oleandermoor.gateway.view;

import org.jspecify.annotations.NullMarked;
