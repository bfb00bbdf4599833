package io.oleandermoor.coordination.membership;

import io.oleandermoor.coordination.selection.RendezvousHash;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.InstanceId;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/** Chooses the entries that read the configuration at the key-value service. */
public final class ServiceReaders {

    /** Entries in each region that watch the service: two may fail before others have to read. */
    public static final int READERS_PER_REGION = 3;

    private static final String NAME = "configuration-readers/";

    private ServiceReaders() {}

    /**
     * Returns the readers of a region.
     *
     * @param members the known processes
     * @param regionOf the region of each failure domain
     * @param region the region
     * @return at most three ready entries of the region, most preferred first
     */
    public static List<InstanceId> choose(
            Collection<MemberRecord> members, Function<FailureDomain, Region> regionOf, Region region) {
        List<InstanceId> entries = members.stream()
                .filter(member -> member.role() == MemberRole.ENTRY
                        && member.status().takesWork()
                        && regionOf.apply(member.domain()).equals(region))
                .map(MemberRecord::instance)
                .toList();
        return RendezvousHash.choose(NAME + region.name(), entries, READERS_PER_REGION);
    }
}
