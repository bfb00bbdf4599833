package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON with maps, lists, texts, numbers and booleans. */
public final class Json {

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    public static Map<String, Object> object(String text) {
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) new Json(text).value();
        return map;
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            position++;
            while (next() != '}') {
                String key = string();
                next();
                position++; // the colon
                map.put(key, value());
                if (next() == ',') {
                    position++;
                }
            }
            position++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            position++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    position++;
                }
            }
            position++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        next();
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char each = text.charAt(position++);
            if (each == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(each);
            }
        }
        position++;
        return result.toString();
    }

    public static String write(Object value) {
        StringBuilder result = new StringBuilder();
        append(result, value);
        return result.toString();
    }

    private static void append(StringBuilder result, Object value) {
        if (value instanceof Map<?, ?> map) {
            result.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                result.append(separator).append('"').append(entry.getKey()).append("\":");
                append(result, entry.getValue());
                separator = ",";
            }
            result.append('}');
        } else if (value instanceof Iterable<?> list) {
            result.append('[');
            String separator = "";
            for (Object element : list) {
                result.append(separator);
                append(result, element);
                separator = ",";
            }
            result.append(']');
        } else if (value instanceof CharSequence) {
            result.append('"').append(value.toString().replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else if (value instanceof Double number && number == Math.rint(number)) {
            result.append(number.longValue());
        } else {
            result.append(value);
        }
    }
}
