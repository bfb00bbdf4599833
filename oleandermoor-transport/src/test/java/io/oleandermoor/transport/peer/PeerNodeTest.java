package io.oleandermoor.transport.peer;

import static org.awaitility.Awaitility.await;

import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Heartbeat;
import io.oleandermoor.protocol.message.Role;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class PeerNodeTest {

    /** Guards against a process that never connects again to one that was paused when the connection was opened. */
    @Test
    void reportsAConnectionThatEndsWithoutIntroduction() throws Exception {
        PeerIdentity self = new PeerIdentity("entry-1", Role.ENTRY, 1, "domain", "127.0.0.1:1");
        AtomicInteger ends = new AtomicInteger();
        // The backlog of the socket takes the connection, as that of a paused process does.
        try (ServerSocket paused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PeerNode node = new PeerNode(self, new NoListener(), Heartbeat::getDefaultInstance, 1)) {
            node.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), paused.getLocalPort()),
                    ends::incrementAndGet);
            await().atMost(Duration.ofSeconds(10)).until(() -> ends.get() == 1);
        }
    }

    private static final class NoListener implements PeerListener {

        @Override
        public void opened(PeerConnection connection) {}

        @Override
        public void received(PeerConnection connection, Envelope envelope) {}

        @Override
        public void closed(PeerConnection connection) {}
    }
}
