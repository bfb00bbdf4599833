package io.oleandermoor.gateway.peer;

/**
 * The load that one entry puts on an instance.
 *
 * @param running the number of its requests in flight
 * @param unreadTokens the prompt tokens that it has sent and that the instance has not read yet
 */
record EntryLoad(int running, long unreadTokens) {

    static final EntryLoad NONE = new EntryLoad(0, 0);
}
