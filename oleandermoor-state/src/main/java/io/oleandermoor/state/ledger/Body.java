package io.oleandermoor.state.ledger;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Immutable bytes of an HTTP body. Written to JSON in Base64. */
public final class Body {

    private static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    private Body(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Copies bytes into a body.
     *
     * @param bytes the bytes
     * @return the body
     */
    @JsonCreator
    public static Body of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Body(bytes.clone());
    }

    /**
     * Returns a body without bytes.
     *
     * @return the empty body
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
     * @return the length
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
