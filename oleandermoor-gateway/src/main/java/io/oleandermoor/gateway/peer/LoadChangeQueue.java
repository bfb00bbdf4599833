package io.oleandermoor.gateway.peer;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Instances whose load has changed, until the change is reported: at the end of the current turn of the event loop to
 * the entries of the own failure domain, and gathered to the others, because traffic between failure domains is
 * expensive. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Tasks run on the event loop.
final class LoadChangeQueue {

    /** Prompts are read within some hundred milliseconds, of which this delay is a small part. */
    static final long REMOTE_DELAY_MILLIS = 20;

    private final EventLoop loop;
    private final String failureDomain;
    private final Sender sender;
    private final Map<String, String> peerDomains = new HashMap<>();
    private final Set<String> localChanges = new LinkedHashSet<>();
    private final Set<String> remoteChanges = new LinkedHashSet<>();

    /** Reports loads to other entries. */
    interface Sender {

        /** Reports the current loads on some instances to the entries whose names match. */
        void send(Set<String> instances, Predicate<String> receivers);
    }

    /**
     * Creates an empty queue.
     *
     * @param loop the event loop
     * @param failureDomain the failure domain of this entry
     * @param sender reports the loads
     */
    LoadChangeQueue(EventLoop loop, String failureDomain, Sender sender) {
        this.loop = loop;
        this.failureDomain = failureDomain;
        this.sender = sender;
    }

    /** Adds an instance whose load has changed. */
    void add(String instance) {
        if (localChanges.add(instance) && localChanges.size() == 1) {
            loop.execute(() -> send(localChanges, this::isLocal));
        }
        if (remoteChanges.add(instance) && remoteChanges.size() == 1) {
            loop.schedule(
                    () -> send(remoteChanges, peer -> !isLocal(peer)), REMOTE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void send(Set<String> changes, Predicate<String> receivers) {
        Set<String> instances = Set.copyOf(changes);
        changes.clear();
        sender.send(instances, receivers);
    }

    /** Returns whether an entry is in the own failure domain; an entry that has not said so counts as remote. */
    private boolean isLocal(String peer) {
        return failureDomain.equals(peerDomains.get(peer));
    }

    /** Records the failure domain of another entry; empty if its report does not hold it. */
    void recordFailureDomain(String peer, String domain) {
        if (!domain.isEmpty()) {
            peerDomains.put(peer, domain);
        }
    }

    /** Forgets other entries than the given ones. */
    void retainPeers(Collection<String> peers) {
        peerDomains.keySet().retainAll(peers);
    }
}
