package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.membership.KeyFreshnessPolicy;
import io.oleandermoor.coordination.membership.ServiceReaders;
import io.oleandermoor.coordination.selection.RendezvousHash;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.transport.peer.PeerConnection;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/** The entries that this entry is connected to, and what follows from their number. Safe for use by several threads. */
final class EntryPeers {

    private final InstanceId self;

    private final PeerNetwork network;

    private final Freshness freshness;

    private final LongSupplier nowMillis;

    EntryPeers(InstanceId self, PeerNetwork network, Freshness freshness, LongSupplier nowMillis) {
        this.self = self;
        this.network = network;
        this.freshness = freshness;
        this.nowMillis = nowMillis;
    }

    /** Returns this entry and those that it is connected to. */
    List<InstanceId> entries() {
        List<InstanceId> entries = new ArrayList<>();
        entries.add(self);
        for (PeerConnection connection : network.connections()) {
            if (connection.remote().role() == Role.ENTRY) {
                entries.add(new InstanceId(connection.remote().instance()));
            }
        }
        return entries;
    }

    /** Returns the entries that read the configuration at the key-value service for all others. */
    List<InstanceId> readers() {
        return RendezvousHash.choose("configuration-readers", entries(), ServiceReaders.READERS_PER_REGION);
    }

    /** Returns whether this entry may accept keys by the configuration that it has. */
    boolean keysUsable() {
        OptionalLong age = freshness.ageMillis(nowMillis.getAsLong());
        return age.isPresent() && (age.getAsLong() < KeyFreshnessPolicy.MAXIMUM_AGE_MILLIS || reachesMostEntries());
    }

    private boolean reachesMostEntries() {
        long listed = network.listed().stream()
                .filter(other -> other.role().equals("entry"))
                .count();
        return entries().size() * 2L > listed;
    }
}
