package io.oleandermoor.transport.peer;

import io.oleandermoor.protocol.message.Envelope;

/** Receives the events of peer connections. Called on event loops; implementations must not block. */
public interface PeerListener {

    /**
     * Called when both sides have introduced themselves.
     *
     * @param connection the connection
     */
    void opened(PeerConnection connection);

    /**
     * Called for each message except the introduction. Heartbeats are passed on because they carry load.
     *
     * @param connection the connection
     * @param envelope the message
     */
    void received(PeerConnection connection, Envelope envelope);

    /**
     * Called once when an open connection has ended.
     *
     * @param connection the connection
     */
    void closed(PeerConnection connection);
}
