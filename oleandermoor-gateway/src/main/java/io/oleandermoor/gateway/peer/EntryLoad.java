package io.oleandermoor.gateway.peer;

import io.oleandermoor.state.dispatch.InstanceState;

/**
 * The load that one entry puts on an instance.
 *
 * @param running the number of its requests in flight
 * @param unreadTokens the prompt tokens that it has sent and that the instance has not read yet
 */
record EntryLoad(int running, long unreadTokens) {

    static final EntryLoad NONE = new EntryLoad(0, 0);

    /** Returns the load that this entry puts on an instance. */
    static EntryLoad of(InstanceState state) {
        return new EntryLoad(state.localLoad(), state.pendingPrefillTokens());
    }
}
