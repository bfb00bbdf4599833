/** Requests of callers, from their arrival to their one answer. */
@NullMarked
package io.oleandermoor.gateway.request;

import org.jspecify.annotations.NullMarked;
