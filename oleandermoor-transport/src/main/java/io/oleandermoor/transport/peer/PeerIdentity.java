package io.oleandermoor.transport.peer;

import io.oleandermoor.protocol.message.Hello;
import io.oleandermoor.protocol.message.Role;

/**
 * What a process says about itself when a connection opens.
 *
 * @param instance identifier of the instance
 * @param role the role of the process
 * @param incarnation start time in milliseconds since the epoch
 * @param failureDomain the failure domain
 * @param peerAddress the address for peer connections as {@code ip:port}
 */
public record PeerIdentity(String instance, Role role, long incarnation, String failureDomain, String peerAddress) {

    /** Version of the messages; both sides of a connection must have the same one. */
    public static final int PROTOCOL_VERSION = 1;

    static PeerIdentity of(Hello hello) {
        return new PeerIdentity(
                hello.getInstance(),
                hello.getRole(),
                hello.getIncarnation(),
                hello.getFailureDomain(),
                hello.getPeerAddress());
    }

    Hello toHello() {
        return Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setInstance(instance)
                .setRole(role)
                .setIncarnation(incarnation)
                .setFailureDomain(failureDomain)
                .setPeerAddress(peerAddress)
                .build();
    }
}
