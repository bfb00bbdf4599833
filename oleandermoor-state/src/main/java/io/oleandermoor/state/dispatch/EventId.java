package io.oleandermoor.state.dispatch;

import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The identifier of an event in a stream: a whole number without an upper bound. Identifiers of a stream increase.
 *
 * @param digits the number in decimal digits, without leading zeros
 */
public record EventId(String digits) implements Comparable<EventId> {

    private static final Pattern DIGITS = Pattern.compile("0|[1-9][0-9]*+");
    private static final Comparator<EventId> NUMERIC_ORDER =
            Comparator.<EventId>comparingInt(id -> id.digits.length()).thenComparing(EventId::digits);

    /** Checks the digits. */
    public EventId {
        if (!DIGITS.matcher(digits).matches()) {
            throw new IllegalArgumentException("event id must be a whole number, is '" + digits + "'");
        }
    }

    /** Parses a whole number; returns empty for any other text. */
    public static Optional<EventId> parse(String text) {
        int length = text.length();
        int start = 0;
        while (start < length - 1 && text.charAt(start) == '0') {
            start++;
        }
        String digits = text.substring(start);
        return DIGITS.matcher(digits).matches() ? Optional.of(new EventId(digits)) : Optional.empty();
    }

    /** Returns whether this identifier is that of a later event of the same stream than another one. */
    public boolean isAfter(EventId other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(EventId other) {
        return NUMERIC_ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return digits;
    }
}
