package io.oleandermoor.standin.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.standin.network.FaultyProxy.Direction;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a proxy whose failures differ from those of a network, which would make failure tests pass falsely.
 */
class FaultyProxyTest {

    private static final int READ_TIMEOUT_MILLIS = 200;

    private ServerSocket target;
    private FaultyProxy proxy;

    @BeforeEach
    void open() throws IOException {
        target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        proxy = new FaultyProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (InetSocketAddress)
                target.getLocalSocketAddress());
    }

    @AfterEach
    void close() throws IOException {
        proxy.close();
        target.close();
    }

    @Test
    void oldConnectionIsSilentInOneDirectionAndStaysOpenWhileNewOnesWork() throws IOException {
        try (Socket client = connect();
                Socket server = accept()) {
            assertThat(passes(client, server, 1)).isTrue();
            proxy.silenceOpen(Direction.TO_TARGET);
            assertThat(passes(client, server, 2)).isFalse();
            assertThat(passes(server, client, 3)).isTrue();
            try (Socket newClient = connect();
                    Socket newServer = accept()) {
                assertThat(passes(newClient, newServer, 4)).isTrue();
                assertThat(passes(newServer, newClient, 5)).isTrue();
            }
            client.close();
            assertThatThrownBy(() -> server.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        }
    }

    @Test
    void silenceOfAllConnectionsHoldsForNewOnes() throws IOException {
        proxy.silenceAll(Direction.TO_TARGET, Direction.TO_CLIENT);
        try (Socket client = connect();
                Socket server = accept()) {
            assertThat(passes(client, server, 1)).isFalse();
            assertThat(passes(server, client, 2)).isFalse();
        }
    }

    @Test
    void cutEndsBothSides() throws IOException {
        try (Socket client = connect();
                Socket server = accept()) {
            assertThat(passes(client, server, 1)).isTrue();
            proxy.cut();
            assertThat(client.getInputStream().read()).isEqualTo(-1);
            assertThat(server.getInputStream().read()).isEqualTo(-1);
            await().until(() -> proxy.connections() == 0);
        }
    }

    @Test
    void delayKeepsTheOrder() throws IOException {
        try (Socket client = connect();
                Socket server = accept()) {
            proxy.setDelay(Duration.ofMillis(READ_TIMEOUT_MILLIS * 2L));
            assertThat(passes(client, server, 1)).isFalse();
            proxy.setDelay(Duration.ZERO);
            client.getOutputStream().write(2);
            server.setSoTimeout(READ_TIMEOUT_MILLIS * 20);
            assertThat(server.getInputStream().readNBytes(2)).containsExactly(1, 2);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private Socket accept() throws IOException {
        Socket socket = target.accept();
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static boolean passes(Socket from, Socket to, int value) throws IOException {
        from.getOutputStream().write(value);
        try {
            return to.getInputStream().read() == value;
        } catch (SocketTimeoutException exception) {
            return false;
        }
    }
}
