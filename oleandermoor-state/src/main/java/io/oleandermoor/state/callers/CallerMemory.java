package io.oleandermoor.state.callers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Accounts for the memory that connections of callers occupy, and chooses what is dropped when it exceeds its bound.
 * Not thread-safe.
 *
 * @param <C> the type of a connection
 */
public final class CallerMemory<C> {

    /**
     * Memory up to which a connection is not chosen. A request of ordinary size occupies less, so that a crowd that
     * fills the account does not affect ordinary requests.
     */
    public static final long GUARANTEED_BYTES = 8 << 10;

    private final long maximumBytes;
    private final Map<String, AddressUse<C>> addresses = new HashMap<>();
    private long usedBytes;

    /**
     * Creates an empty account.
     *
     * @param maximumBytes the memory that all connections together may occupy
     */
    public CallerMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Returns the part of the account of a new connection from an address. */
    public Holding open(String address, C connection) {
        return new Holding(address, connection);
    }

    /** Returns the memory that all connections occupy. */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Returns the connection of which something must be dropped, if more memory is occupied than the bound allows: the
     * oldest with something that may be dropped, of the address that occupies the most memory among those with such
     * connections.
     */
    public Optional<C> excess() {
        if (usedBytes <= maximumBytes) {
            return Optional.empty();
        }
        return addresses.values().stream()
                .filter(address -> !address.droppable.isEmpty())
                .max(Comparator.comparingLong(address -> address.usedBytes))
                .map(address -> address.droppable.iterator().next().connection);
    }

    /** What the connections of one address occupy. */
    private static final class AddressUse<C> {

        /** The holdings that may be dropped, the oldest first. */
        private final Set<CallerMemory<C>.Holding> droppable = new LinkedHashSet<>();

        private long usedBytes;
        private int holdings;
    }

    /** The memory that one connection occupies. */
    public final class Holding {

        private final String address;
        private final C connection;
        private final AddressUse<C> use;
        private long bytes;
        private boolean unfinished;
        private boolean closed;

        private Holding(String address, C connection) {
            this.address = address;
            this.connection = connection;
            this.use = addresses.computeIfAbsent(address, name -> new AddressUse<>());
            use.holdings++;
        }

        /** Records that the connection occupies more, or less, memory. */
        public void add(long changeBytes) {
            if (closed) {
                return;
            }
            bytes += changeBytes;
            use.usedBytes += changeBytes;
            usedBytes += changeBytes;
            updateDroppable();
        }

        /** Records whether the connection has something that may be dropped. */
        public void setUnfinished(boolean value) {
            unfinished = value;
            updateDroppable();
        }

        private void updateDroppable() {
            if (unfinished && !closed && bytes > GUARANTEED_BYTES) {
                use.droppable.add(this);
            } else {
                use.droppable.remove(this);
            }
        }

        /** Returns the memory that the connection occupies. */
        public long bytes() {
            return bytes;
        }

        /** Returns the address of the connection. */
        public String address() {
            return address;
        }

        /** Records that the connection occupies nothing any more. Later changes are ignored. */
        public void close() {
            if (closed) {
                return;
            }
            add(-bytes);
            closed = true;
            updateDroppable();
            use.holdings--;
            if (use.holdings == 0) {
                addresses.remove(address);
            }
        }
    }
}
