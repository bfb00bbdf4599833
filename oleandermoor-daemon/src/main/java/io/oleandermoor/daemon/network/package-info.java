/** Connections of a process to the other processes of the system. */
@NullMarked
package io.oleandermoor.daemon.network;

import org.jspecify.annotations.NullMarked;
