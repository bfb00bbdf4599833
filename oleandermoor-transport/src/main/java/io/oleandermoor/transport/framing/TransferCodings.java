package io.oleandermoor.transport.framing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The transfer codings of a message in the order in which they were applied (RFC 9112, section 6.1). */
final class TransferCodings {

    private static final String CHUNKED = "chunked";

    // Possessive quantifiers keep the depth of the recursion independent of the length of the header.
    private static final String SPACE = "[ \\t]*+";
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]++";
    private static final String QUOTED_TEXT = "[\\t \\x21\\x23-\\x5B\\x5D-\\x7E\\x80-\\xFF]*+";
    private static final String QUOTED_STRING =
            "\"" + QUOTED_TEXT + "(?:\\\\[\\t \\x21-\\x7E\\x80-\\xFF]" + QUOTED_TEXT + ")*+\"";
    private static final String PARAMETERS =
            "(?:" + SPACE + ";" + SPACE + TOKEN + SPACE + "=" + SPACE + "(?:" + TOKEN + "|" + QUOTED_STRING + "))*+";
    private static final Pattern CODING =
            Pattern.compile("(?<name>" + TOKEN + ")(?<parameters>" + PARAMETERS + ")" + SPACE + "(?:,|$)");
    /** What may stand between the codings of a list, whose empty elements are ignored (RFC 9110, section 5.6.1). */
    private static final Pattern SEPARATORS = Pattern.compile("[ \\t,]*+");

    private final List<String> codings;

    private TransferCodings(List<String> codings) {
        this.codings = codings;
    }

    /**
     * Parses the values of the Transfer-Encoding headers of a message.
     *
     * @param values the values in the order of the headers
     * @return the codings, empty if the values are not a list of codings
     */
    static Optional<TransferCodings> parse(List<String> values) {
        List<String> codings = new ArrayList<>();
        for (String value : values) {
            if (!addCodings(value, codings)) {
                return Optional.empty();
            }
        }
        return Optional.of(new TransferCodings(codings));
    }

    private static boolean addCodings(String list, List<String> codings) {
        Matcher coding = CODING.matcher(list);
        int position = skipSeparators(list, 0);
        while (position < list.length()) {
            if (!coding.region(position, list.length()).lookingAt()) {
                return false;
            }
            codings.add(coding.group("name") + coding.group("parameters"));
            position = skipSeparators(list, coding.end());
        }
        return true;
    }

    private static int skipSeparators(String list, int position) {
        Matcher separators = SEPARATORS.matcher(list).region(position, list.length());
        return separators.lookingAt() ? separators.end() : position;
    }

    /** Returns whether the last coding is chunked, which alone marks the end of a body, and no other one is. */
    boolean endWithChunked() {
        long chunked = codings.stream().filter(CHUNKED::equalsIgnoreCase).count();
        return chunked == 1 && CHUNKED.equalsIgnoreCase(codings.get(codings.size() - 1));
    }

    /** Returns whether chunked is the only coding. */
    boolean areChunkedOnly() {
        return codings.size() == 1 && endWithChunked();
    }
}
