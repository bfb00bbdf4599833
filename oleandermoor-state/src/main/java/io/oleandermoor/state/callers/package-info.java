/** Shares of an entry's memory and connections among the addresses of its callers. */
@NullMarked
package io.oleandermoor.state.callers;

import org.jspecify.annotations.NullMarked;
