import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON, as far as the stand-ins need it. */
final class Json {

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a document into maps, lists, strings, longs, doubles, booleans and null. */
    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }

    private Object value() {
        skipSpace();
        char next = text.charAt(position);
        if (next == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            position++;
            skipSpace();
            while (text.charAt(position) != '}') {
                String key = (String) value();
                skipSpace();
                position++; // The colon.
                map.put(key, value());
                skipSpace();
                if (text.charAt(position) == ',') {
                    position++;
                    skipSpace();
                }
            }
            position++;
            return map;
        }
        if (next == '[') {
            List<Object> list = new ArrayList<>();
            position++;
            skipSpace();
            while (text.charAt(position) != ']') {
                list.add(value());
                skipSpace();
                if (text.charAt(position) == ',') {
                    position++;
                    skipSpace();
                }
            }
            position++;
            return list;
        }
        if (next == '"') {
            StringBuilder string = new StringBuilder();
            position++;
            while (text.charAt(position) != '"') {
                char character = text.charAt(position++);
                if (character == '\\') {
                    char escaped = text.charAt(position++);
                    switch (escaped) {
                        case 'n' -> string.append('\n');
                        case 'r' -> string.append('\r');
                        case 't' -> string.append('\t');
                        case 'u' -> {
                            string.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                            position += 4;
                        }
                        default -> string.append(escaped);
                    }
                } else {
                    string.append(character);
                }
            }
            position++;
            return string.toString();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    /** Writes a value; strings are ASCII without control characters here. */
    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, each) -> fields.add(write(key) + ":" + write(each)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            List<String> elements = new ArrayList<>();
            list.forEach(each -> elements.add(write(each)));
            return "[" + String.join(",", elements) + "]";
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return String.valueOf(value);
    }
}
