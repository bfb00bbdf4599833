/** The agent: the only process that sends requests and orders to its upstream. */
@NullMarked
package io.oleandermoor.daemon.agent;

import org.jspecify.annotations.NullMarked;
