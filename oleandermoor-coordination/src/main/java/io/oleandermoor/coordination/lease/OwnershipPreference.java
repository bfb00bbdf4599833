package io.oleandermoor.coordination.lease;

import io.oleandermoor.coordination.selection.RendezvousHash;
import io.oleandermoor.state.identity.InstanceId;
import java.util.Collection;
import java.util.OptionalInt;
import java.util.function.Supplier;

/** Decides which processes try to own a name, so that the number of calls does not grow with the fleet. */
@FunctionalInterface
public interface OwnershipPreference {

    /** Number of processes that try to own a name. One domain and one process may fail without a delay. */
    int CANDIDATES = 3;

    /**
     * Returns this process's rank for a name.
     *
     * @param name the name
     * @return 0 for the first choice, larger for later ones, empty if this process does not try to own the name
     */
    OptionalInt rank(String name);

    /**
     * Returns the preference by rendezvous hashing.
     *
     * @param self this process
     * @param members the processes that can own names at present, with or without this process
     * @return the preference
     */
    static OwnershipPreference rendezvous(InstanceId self, Supplier<? extends Collection<InstanceId>> members) {
        return name -> {
            int rank = RendezvousHash.choose(name, members.get(), CANDIDATES).indexOf(self);
            return rank < 0 ? OptionalInt.empty() : OptionalInt.of(rank);
        };
    }
}
