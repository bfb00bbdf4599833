package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.KeyHash;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Revocations that the configuration in force does not have yet. A revocation is forgotten only when a configuration of
 * its version or a later one is without the key, so a process with an older configuration cannot accept the key again.
 * Safe for use by several threads.
 */
public final class RevocationTable {

    private final Map<KeyHash, Revocation> revocations = new ConcurrentHashMap<>();

    /**
     * Adds a revocation.
     *
     * @param revocation the revocation
     * @param inForce the configuration in force in this process
     * @return false if this configuration already shows that the key was removed
     */
    public boolean add(Revocation revocation, Configuration inForce) {
        if (revocation.isWrittenIn(inForce)) {
            return false;
        }
        revocations.merge(revocation.hash(), revocation, (old, other) -> other.version() > old.version() ? other : old);
        return true;
    }

    /**
     * Returns whether a key is revoked.
     *
     * @param hash the hash of the key
     * @return true if the key must not be accepted, whatever the configuration says
     */
    public boolean isRevoked(KeyHash hash) {
        return revocations.containsKey(hash);
    }

    /**
     * Returns the revocations that have to be written.
     *
     * @param inForce the configuration in force
     * @return those whose key this configuration has
     */
    public List<Revocation> pending(Configuration inForce) {
        return revocations.values().stream()
                .filter(revocation -> revocation.isPendingIn(inForce))
                .toList();
    }

    /**
     * Forgets revocations that have become part of the configuration.
     *
     * @param inForce the configuration in force
     * @return the revocations that were forgotten
     */
    public List<Revocation> removeWritten(Configuration inForce) {
        List<Revocation> written = new ArrayList<>();
        revocations.values().removeIf(revocation -> {
            boolean done = revocation.isWrittenIn(inForce);
            if (done) {
                written.add(revocation);
            }
            return done;
        });
        return written;
    }

    /**
     * Returns whether there is no revocation.
     *
     * @return true if no key is revoked here
     */
    public boolean isEmpty() {
        return revocations.isEmpty();
    }
}
