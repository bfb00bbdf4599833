package io.oleandermoor.transport.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * An IP address with a port. Names are not accepted, so that no process depends on name resolution.
 *
 * @param host the IP address in its text form, without brackets
 * @param port the port, 0 to 65535; 0 lets the system choose a free port to listen on
 */
public record Address(String host, int port) {

    private static final int LARGEST_PORT = 65_535;

    /** Checks the arguments. */
    public Address {
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            throw new IllegalArgumentException("'" + host + "' must be an IP address");
        }
        if (port < 0 || port > LARGEST_PORT) {
            throw new IllegalArgumentException("port " + port + " must be from 0 to " + LARGEST_PORT);
        }
    }

    /**
     * Returns the address of a text.
     *
     * @param text {@code 127.0.0.1:8080} or {@code [::1]:8080}
     * @return the address
     * @throws IllegalArgumentException if the text has another form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String port = text.substring(colon + 1);
        if (host.isEmpty() || host.contains(":") != bracketed || !port.matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException(
                    "'" + text + "' must be an IP address and a port such as 127.0.0.1:8080 or [::1]:8080");
        }
        return new Address(bracketed ? host.substring(1, host.length() - 1) : host, Integer.parseInt(port));
    }

    /**
     * Returns the address for use with sockets.
     *
     * @return the resolved address
     */
    public InetSocketAddress toSocketAddress() {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(host)), port);
        } catch (UnknownHostException exception) {
            throw new IllegalStateException("the address was checked when it was created", exception);
        }
    }

    /**
     * Returns whether two addresses cannot be listened on by the same process.
     *
     * @param other the other address
     * @return true if the ports are the same fixed port, and the hosts are equal or one of them stands for all
     */
    public boolean clashesWith(Address other) {
        return port != 0 && port == other.port && (host.equals(other.host) || isAnyHost() || other.isAnyHost());
    }

    private boolean isAnyHost() {
        return toSocketAddress().getAddress().isAnyLocalAddress();
    }

    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
