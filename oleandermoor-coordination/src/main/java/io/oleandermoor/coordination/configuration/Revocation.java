package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.KeyHash;
import java.util.List;
import java.util.Optional;

/**
 * Revocation of a key that the key-value service has not confirmed. It only restricts: nothing in it can make a key
 * valid.
 *
 * @param hash the hash of the key
 * @param keyId the public identifier of the key
 * @param changeId the identifier of the operator's change, under which the revocation is written later
 * @param author who revoked the key
 * @param version a version of the configuration that has the key
 */
public record Revocation(KeyHash hash, String keyId, String changeId, String author, long version) {

    /**
     * Returns the revocation that a change asks for, if the change does nothing else.
     *
     * @param changeSet the change
     * @param configuration the configuration in force
     * @return the revocation, or empty if the change has other steps or names no key of the configuration
     */
    public static Optional<Revocation> of(ChangeSet changeSet, Configuration configuration) {
        if (changeSet.changes().size() != 1 || !(changeSet.changes().get(0) instanceof Change.RevokeKey revoke)) {
            return Optional.empty();
        }
        return configuration
                .keyById(revoke.keyId())
                .map(key -> new Revocation(
                        key.hash(), key.id(), changeSet.changeId(), changeSet.author(), configuration.version()));
    }

    /**
     * Returns the change that makes this revocation permanent.
     *
     * @return the change, with the identifier that the operator knows
     */
    public ChangeSet toChangeSet() {
        return new ChangeSet(changeId, author, List.of(new Change.RevokeKey(keyId)));
    }

    /** Returns whether a configuration still has the key, under the same identifier. */
    boolean isPendingIn(Configuration configuration) {
        return configuration.key(hash).map(ApiKey::id).filter(keyId::equals).isPresent();
    }

    /** Returns whether a configuration shows that the key was removed after this revocation. */
    boolean isWrittenIn(Configuration configuration) {
        return configuration.version() >= version && configuration.key(hash).isEmpty();
    }
}
