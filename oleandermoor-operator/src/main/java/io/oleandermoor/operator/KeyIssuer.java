package io.oleandermoor.operator;

import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Objects;

/** Issues keys of 256 random bits. As safe for use by several threads as its random source. */
public final class KeyIssuer {

    /** First characters of every issued key, by which scanners of source code can recognize a leaked one. */
    public static final String PREFIX = "olm_";

    private static final int KEY_BYTES = 32;

    private final SecureRandom random;

    /**
     * Creates an issuer.
     *
     * @param random the source of the random bits
     */
    public KeyIssuer(SecureRandom random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Issues a key.
     *
     * @param id public identifier of the key, unique in the configuration
     * @param team the team for which requests with this key run
     * @return the key
     * @throws IllegalArgumentException if the identifier has characters that are not allowed
     */
    public IssuedKey issue(String id, TeamName team) {
        Objects.requireNonNull(team, "team");
        if (!Identifiers.isValid(id)) {
            throw new IllegalArgumentException("id '" + id + "' is not a valid identifier");
        }
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        String text = PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        return new IssuedKey(new ApiKey(id, team, KeyHash.of(text)), text);
    }
}
