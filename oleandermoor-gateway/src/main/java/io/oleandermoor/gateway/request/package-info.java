/** Caller requests: HTTP connections, admission, queueing, dispatch to instances, and responses. */
@NullMarked
package io.oleandermoor.gateway.request;

import org.jspecify.annotations.NullMarked;
