package io.oleandermoor.command;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log.
 *
 * @param text the whole line
 * @param fields the values by their keys; of a key that is given twice, the last value
 */
record LogLine(String text, Map<String, String> fields) {

    private static final Pattern FIELD = Pattern.compile("([A-Za-z_]+)=(\"[^\"]*\"|\\S+)");

    LogLine {
        fields = Map.copyOf(fields);
    }

    static LogLine parse(String text) {
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            String value = matcher.group(2);
            boolean quoted = value.startsWith("\"");
            fields.put(matcher.group(1), quoted ? value.substring(1, value.length() - 1) : value);
        }
        return new LogLine(text, fields);
    }

    /** Returns the value of a key. */
    Optional<String> field(String key) {
        return Optional.ofNullable(fields.get(key));
    }

    boolean has(String key, String value) {
        return value.equals(fields.get(key));
    }

    /** Returns the time of day that the process gave, which sorts as text; empty if the line has none. */
    String time() {
        return fields.getOrDefault("time", "");
    }
}
