/** Identifiers of teams, models, adapters, instances, upstreams, requests and keys. */
@NullMarked
package io.oleandermoor.state.identity;

import org.jspecify.annotations.NullMarked;
