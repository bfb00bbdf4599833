package io.oleandermoor.state.callers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

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
    /** The memory of the unfinished requests within the guarantee. */
    private long smallBytes;

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
     * connections. Connections within the guarantee are chosen only when all of them together exceed the bound.
     */
    public Optional<C> excess() {
        if (usedBytes <= maximumBytes) {
            return Optional.empty();
        }
        Optional<C> large = oldest(address -> address.droppable);
        // With very many connections, what each of them is guaranteed exceeds the heap.
        boolean guaranteed = smallBytes <= maximumBytes;
        return large.isPresent() || guaranteed ? large : oldest(address -> address.small);
    }

    private Optional<C> oldest(Function<AddressUse<C>, Set<CallerMemory<C>.Holding>> candidates) {
        return addresses.values().stream()
                .filter(address -> !candidates.apply(address).isEmpty())
                .max(Comparator.comparingLong(address -> address.usedBytes))
                .map(address -> candidates.apply(address).iterator().next().connection);
    }

    /** What the connections of one address occupy. */
    private static final class AddressUse<C> {

        /** The holdings that may be dropped, the oldest first. */
        private final Set<CallerMemory<C>.Holding> droppable = new LinkedHashSet<>();

        /** The unfinished holdings within the guarantee, the oldest first. */
        private final Set<CallerMemory<C>.Holding> small = new LinkedHashSet<>();

        private long usedBytes;
        private int holdings;
    }

    /** The memory that one connection occupies. */
    public final class Holding {

        private final String address;
        private final C connection;
        private final AddressUse<C> use;
        private long bytes;
        private long countedSmallBytes;
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
            boolean mayBeDropped = unfinished && !closed && bytes > 0;
            move(use.droppable, mayBeDropped && bytes > GUARANTEED_BYTES);
            boolean isSmall = mayBeDropped && bytes <= GUARANTEED_BYTES;
            move(use.small, isSmall);
            long small = isSmall ? bytes : 0;
            smallBytes += small - countedSmallBytes;
            countedSmallBytes = small;
        }

        private void move(Set<CallerMemory<C>.Holding> holdings, boolean member) {
            if (member) {
                holdings.add(this);
            } else {
                holdings.remove(this);
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
