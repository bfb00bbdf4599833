package io.oleandermoor.coordination.lease;

/**
 * Number that grows with each owner of a name. It is the store's revision of the write by which the owner took the
 * name, so receivers can reject orders of earlier owners.
 *
 * @param value the number, positive
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

    /** Checks the number. */
    public FencingNumber {
        if (value <= 0) {
            throw new IllegalArgumentException("fencing number must be positive: " + value);
        }
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }
}
