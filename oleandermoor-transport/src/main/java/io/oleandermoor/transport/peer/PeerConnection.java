package io.oleandermoor.transport.peer;

import io.oleandermoor.protocol.message.Envelope;

/** An open connection to another process. Safe for use by several threads. */
public interface PeerConnection {

    /**
     * Returns who is at the other end.
     *
     * @return the identity from the other side's first message
     */
    PeerIdentity remote();

    /**
     * Sends a message. Messages arrive in the order in which one thread sent them, or not at all.
     *
     * @param envelope the message
     * @return false if the connection is closed already; true says nothing about arrival
     */
    boolean send(Envelope envelope);

    /**
     * Returns whether the connection is open as far as this side knows.
     *
     * @return true if it is open
     */
    boolean isOpen();

    /**
     * Closes the connection.
     *
     * @param reason why, for the log
     */
    void close(String reason);
}
