/** Exchange of load, rate grants, demand and loaded models between entries. */
@NullMarked
package io.oleandermoor.gateway.peer;

import org.jspecify.annotations.NullMarked;
