package io.oleandermoor.state.identity;

import java.util.regex.Pattern;

/** Checks shared by the identifier types. */
public final class Identifiers {

    /** Longest accepted identifier, in characters. */
    public static final int MAXIMUM_LENGTH = 128;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

    private Identifiers() {}

    /**
     * Returns whether the text can be used as an identifier.
     *
     * @param value the text to check
     * @return true if the text has 1 to {@value #MAXIMUM_LENGTH} allowed characters
     */
    public static boolean isValid(String value) {
        return value.length() <= MAXIMUM_LENGTH && ALLOWED.matcher(value).matches();
    }

    static String requireValid(String value, String what) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    what + " '" + value + "' must start with a letter or digit and have at most " + MAXIMUM_LENGTH
                            + " letters, digits or . _ : / -");
        }
        return value;
    }
}
