package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 of an API key. The key itself is never stored.
 *
 * @param value 64 lower-case hexadecimal digits
 */
public record KeyHash(@JsonValue String value) {

    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    /** Checks the format of the hash. */
    @JsonCreator
    public KeyHash {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("key hash must be 64 lower-case hexadecimal digits");
        }
    }

    /**
     * Returns the hash of an API key.
     *
     * @param key the API key as sent by the caller
     * @return the hash of the key
     */
    public static KeyHash of(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyHash(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform provides SHA-256", exception);
        }
    }

    @Override
    public String toString() {
        return value.substring(0, 8);
    }
}
