/** The pool of workers that runs the events of requests in order. */
@NullMarked
package io.oleandermoor.transport.worker;

import org.jspecify.annotations.NullMarked;
