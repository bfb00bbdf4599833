package io.oleandermoor.state.identity;

import java.util.HexFormat;

/**
 * Identifier of one request of a caller, unique over all entries.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record RequestId(long high, long low) {

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
