package io.oleandermoor.transport.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the line on which each setting of an INI text stands, because the library that reads the values does not keep
 * it.
 */
final class LineIndex {

    private final Map<String, Integer> lines = new HashMap<>();

    LineIndex(String text) {
        String section = "";
        List<String> all = text.lines().toList();
        for (int index = 0; index < all.size(); index++) {
            String line = all.get(index).strip();
            if (line.startsWith("[") && line.contains("]")) {
                section = line.substring(1, line.indexOf(']')).strip();
                lines.putIfAbsent(section, index + 1);
            } else if (!line.isEmpty() && !line.startsWith("#") && !line.startsWith(";")) {
                int separator = line.indexOf('=');
                String key = separator < 0 ? line : line.substring(0, separator).strip();
                lines.put(section + "." + key, index + 1);
            }
        }
    }

    /** Returns the last line on which a setting is given, as {@code file:line}. */
    String place(String file, String name) {
        Integer line = lines.get(name);
        return line == null ? file : file + ":" + line;
    }
}
