package io.oleandermoor.coordination.selection;

import io.oleandermoor.state.identity.InstanceId;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import net.openhft.hashing.LongHashFunction;

/**
 * Orders instances by preference for a name (rendezvous hashing). A member that joins or leaves changes only the
 * choices in which it takes part.
 */
public final class RendezvousHash {

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private static final Comparator<Scored> LEAST_PREFERRED_FIRST =
            Comparator.comparingLong(Scored::score).thenComparing(Scored::member);

    private RendezvousHash() {}

    /**
     * Returns the instances with the highest preference for a name.
     *
     * @param name the name
     * @param members the instances to choose from, without duplicates
     * @param count the largest number of instances to return, at least 0
     * @return the chosen instances, most preferred first
     */
    public static List<InstanceId> choose(String name, Collection<InstanceId> members, int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count must not be negative: " + count);
        }
        long nameHash = HASH.hashChars(name);
        PriorityQueue<Scored> chosen = new PriorityQueue<>(LEAST_PREFERRED_FIRST);
        for (InstanceId member : members) {
            chosen.add(new Scored(member, HASH.hashLong(nameHash ^ HASH.hashChars(member.value()))));
            if (chosen.size() > count) {
                chosen.remove();
            }
        }
        return chosen.stream()
                .sorted(LEAST_PREFERRED_FIRST.reversed())
                .map(Scored::member)
                .toList();
    }

    private record Scored(InstanceId member, long score) {}
}
