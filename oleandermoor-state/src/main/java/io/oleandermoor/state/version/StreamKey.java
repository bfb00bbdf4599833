package io.oleandermoor.state.version;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a caller's attempt whose stream brought events. Another team, route or service makes another key, so that
 * the name of somebody else's attempt is unknown.
 *
 * @param fingerprint a hash that two attempts practically never share
 */
public record StreamKey(long fingerprint) {

    /**
     * Returns the key of an attempt.
     *
     * @param requestId the identifier of the attempt
     * @param team the name of the caller's team; empty for an anonymous caller
     * @param route the name of the route
     * @param service the name of the service that runs it
     */
    public static StreamKey of(String requestId, String team, String route, String service) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("each Java platform provides SHA-256", exception);
        }
        for (String part : new String[] {requestId, team, route, service}) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            // The length keeps parts apart whatever they contain.
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
            digest.update(bytes);
        }
        return new StreamKey(ByteBuffer.wrap(digest.digest()).getLong());
    }
}
