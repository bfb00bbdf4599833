package io.oleandermoor.state.identity;

import java.util.regex.Pattern;

/** Validation of identifiers, shared by the identifier types. */
public final class Identifiers {

    /** Maximum length of an identifier, in characters. */
    public static final int MAXIMUM_LENGTH = 128;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

    private Identifiers() {}

    /**
     * Returns whether a text is a valid identifier.
     *
     * @param value the text to check
     * @return true if the text has 1 to {@value #MAXIMUM_LENGTH} characters, all of them allowed
     */
    public static boolean isValid(String value) {
        return value.length() <= MAXIMUM_LENGTH && ALLOWED.matcher(value).matches();
    }

    static String requireValid(String value, String kind) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    kind + " '" + value + "' must start with a letter or digit and have at most " + MAXIMUM_LENGTH
                            + " letters, digits or . _ : / -");
        }
        return value;
    }
}
