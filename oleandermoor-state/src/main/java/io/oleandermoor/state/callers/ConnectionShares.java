package io.oleandermoor.state.callers;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the number of connections of callers. Once three quarters are in use, an address that has more than an eighth
 * of them gets no more, so that callers of other addresses can still connect. Not thread-safe.
 */
public final class ConnectionShares {

    private static final double SCARCE_RATIO = 0.75;
    private static final double ADDRESS_RATIO = 0.125;

    private final int maximum;
    private final Map<String, Integer> openByAddress = new HashMap<>();
    private int open;

    /**
     * Creates shares without connections.
     *
     * @param maximum the number of connections that may be open
     */
    public ConnectionShares(int maximum) {
        this.maximum = maximum;
    }

    /** Returns the number of connections that may be open. */
    public int maximum() {
        return maximum;
    }

    /** Returns the number of open connections. */
    public int open() {
        return open;
    }

    /** Counts a new connection from an address, unless it must be refused. Returns whether it is counted. */
    public boolean tryOpen(String address) {
        int own = openByAddress.getOrDefault(address, 0);
        boolean scarce = open >= maximum * SCARCE_RATIO;
        if (open >= maximum || (scarce && own >= maximum * ADDRESS_RATIO)) {
            return false;
        }
        openByAddress.put(address, own + 1);
        open++;
        return true;
    }

    /** Records the end of a connection that was counted. */
    public void close(String address) {
        open--;
        openByAddress.computeIfPresent(address, (name, count) -> count > 1 ? count - 1 : null);
    }
}
