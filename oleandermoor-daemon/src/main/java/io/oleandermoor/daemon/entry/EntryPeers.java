package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.membership.KeyFreshnessPolicy;
import io.oleandermoor.coordination.membership.KeyFreshnessPolicy.Situation;
import io.oleandermoor.coordination.membership.ServiceReaders;
import io.oleandermoor.coordination.selection.RendezvousHash;
import io.oleandermoor.daemon.network.DisseminatingItemExchange;
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

    /** Age of the last confirmation from which the other entries are asked; half of the largest age. */
    private static final long ASK_FROM_MILLIS = 5_000;

    private static final int TICKS_BETWEEN_QUESTIONS = 2;

    private final InstanceId self;

    private final PeerNetwork network;

    private final Freshness freshness;

    private final DisseminatingItemExchange items;

    private final LongSupplier nowMillis;

    private volatile boolean serviceDown;

    private int ticks;

    EntryPeers(
            InstanceId self,
            PeerNetwork network,
            Freshness freshness,
            DisseminatingItemExchange items,
            LongSupplier nowMillis) {
        this.items = items;
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

    /**
     * Asks the other entries for newer confirmations while this entry lacks one, and decides by their answers whether
     * the key-value service is down for most entries; to be called each second.
     */
    void tick() {
        OptionalLong age = freshness.ageMillis(nowMillis.getAsLong());
        if (age.isPresent() && age.getAsLong() < ASK_FROM_MILLIS) {
            serviceDown = false;
            return;
        }
        List<InstanceId> others = entries();
        others.remove(self);
        serviceDown = isServiceDown(age, others);
        ticks++;
        if (ticks % TICKS_BETWEEN_QUESTIONS == 0) {
            items.ask(others);
        }
    }

    /** Returns whether this entry may accept keys by the configuration that it has. */
    boolean keysUsable() {
        OptionalLong age = freshness.ageMillis(nowMillis.getAsLong());
        return age.isPresent() && (age.getAsLong() < KeyFreshnessPolicy.MAXIMUM_AGE_MILLIS || serviceDown);
    }

    /** Decides as if the configuration were no longer confirmed, so that the answer is known when that is so. */
    private boolean isServiceDown(OptionalLong age, List<InstanceId> others) {
        int listed = (int) network.listed().stream()
                .filter(other -> other.role().equals("entry"))
                .count();
        if (age.isEmpty() || listed == 0) {
            // Without the list this entry cannot know how many others there are.
            return false;
        }
        return KeyFreshnessPolicy.decide(new Situation(
                        OptionalLong.of(Math.max(KeyFreshnessPolicy.MAXIMUM_AGE_MILLIS, age.getAsLong())),
                        Math.max(listed, others.size() + 1),
                        others.size(),
                        items.unconfirmed(others)))
                .accepts();
    }
}
