package io.oleandermoor.state.ledger;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Immutable HTTP body. Serialized to JSON in Base64. */
public final class Body {

    private static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    private Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a body from a copy of the given bytes.
     *
     * @param bytes the bytes to copy
     * @return the body
     */
    @JsonCreator
    public static Body of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Body(bytes.clone());
    }

    /**
     * Returns the empty body.
     *
     * @return a body of length 0
     */
    public static Body empty() {
        return EMPTY;
    }

    /**
     * Returns a copy of the bytes.
     *
     * @return the bytes
     */
    @JsonValue
    public byte[] bytes() {
        return bytes.clone();
    }

    /**
     * Returns the number of bytes.
     *
     * @return the length in bytes
     */
    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Body body && Arrays.equals(bytes, body.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Body[" + bytes.length + " bytes]";
    }
}
