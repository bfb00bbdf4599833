import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports below those that the operating system assigns to connections. */
final class Ports {

    private Ports() {}

    static synchronized int free() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                    DatagramSocket udp = new DatagramSocket(port, loopback)) {
                return udp.getLocalPort();
            } catch (IOException exception) {
                // It is taken.
            }
        }
        throw new IOException("no free port");
    }
}
