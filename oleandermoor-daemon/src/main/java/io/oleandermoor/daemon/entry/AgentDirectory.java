package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.transport.peer.PeerConnection;
import java.util.Optional;

/** Finds the connection to the agent of an upstream. Safe for use by several threads. */
@FunctionalInterface
interface AgentDirectory {

    /**
     * Returns the connection.
     *
     * @param upstream the upstream
     * @return the open connection, or empty if there is none
     */
    Optional<PeerConnection> connection(UpstreamId upstream);
}
