/** Exchange of counts between entries. */
@NullMarked
package io.oleandermoor.gateway.peer;

import org.jspecify.annotations.NullMarked;
