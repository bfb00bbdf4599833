package io.oleandermoor.transport.address;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses of the form {@code ip:port}. Names are not resolved. */
public final class Addresses {

    private static final int MAXIMUM_PORT = 65535;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text the address as {@code ip:port}
     * @return the address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
            throw new IllegalArgumentException("address '" + text + "' must be an IP address and a port");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAXIMUM_PORT) {
                throw new IllegalArgumentException("port of '" + text + "' is out of range");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException exception) {
            throw new IllegalArgumentException("address '" + text + "' must be an IP address and a port", exception);
        }
    }
}
