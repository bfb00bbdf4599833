package io.oleandermoor.daemon.network;

/** Spreads small versioned items among all processes. Safe for use by several threads. */
public interface ItemExchange {

    /**
     * Makes an item known to all processes.
     *
     * @param name the name
     * @param version the version; of two items with one name the larger version wins everywhere
     * @param content the content
     */
    void publish(String name, long version, byte[] content);

    /**
     * Makes an item known like {@link #publish}, and sends it on all open connections. Whoever receives a later message
     * of the same thread on one of them knows the item.
     *
     * @param name the name
     * @param version the version
     * @param content the content
     */
    void publishToAll(String name, long version, byte[] content);

    /**
     * Adds a listener for items whose name starts with a prefix. It is called for each newer item once.
     *
     * @param prefix the prefix
     * @param listener the listener; called on event loops, so it must not block
     */
    void listen(String prefix, ItemListener listener);

    /** Receives items. */
    @FunctionalInterface
    interface ItemListener {

        /**
         * Called for an item that is newer than the known one.
         *
         * @param name the name
         * @param version the version
         * @param content the content; not to be modified
         */
        void received(String name, long version, byte[] content);
    }
}
