import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON, for the stand-ins of the review. */
final class Json {

    private final String text;
    private int index;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(byte[] bytes) {
        return new Json(new String(bytes, StandardCharsets.UTF_8)).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(byte[] bytes) {
        return (Map<String, Object>) parse(bytes);
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(index))) {
            index++;
        }
        return text.charAt(index);
    }

    private Object value() {
        switch (peek()) {
            case '{':
                Map<String, Object> fields = new LinkedHashMap<>();
                index++;
                while (peek() != '}') {
                    String name = string();
                    peek();
                    index++;
                    fields.put(name, value());
                    if (peek() == ',') {
                        index++;
                    }
                }
                index++;
                return fields;
            case '[':
                List<Object> elements = new ArrayList<>();
                index++;
                while (peek() != ']') {
                    elements.add(value());
                    if (peek() == ',') {
                        index++;
                    }
                }
                index++;
                return elements;
            case '"':
                return string();
            default:
                int start = index;
                while (index < text.length() && ",]} \n\t\r".indexOf(text.charAt(index)) < 0) {
                    index++;
                }
                String word = text.substring(start, index);
                return switch (word) {
                    case "true" -> true;
                    case "false" -> false;
                    case "null" -> "";
                    default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
                };
        }
    }

    private String string() {
        peek();
        StringBuilder result = new StringBuilder();
        for (index++; text.charAt(index) != '"'; index++) {
            char character = text.charAt(index);
            if (character != '\\') {
                result.append(character);
                continue;
            }
            char escaped = text.charAt(++index);
            if (escaped == 'u') {
                result.append((char) Integer.parseInt(text.substring(index + 1, index + 5), 16));
                index += 4;
            } else {
                result.append(
                        switch (escaped) {
                            case 'n' -> '\n';
                            case 't' -> '\t';
                            case 'r' -> '\r';
                            case 'b' -> '\b';
                            case 'f' -> '\f';
                            default -> escaped;
                        });
            }
        }
        index++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder result = new StringBuilder();
        append(result, value);
        return result.toString();
    }

    private static void append(StringBuilder result, Object value) {
        if (value instanceof Map<?, ?> fields) {
            String separator = "{";
            for (Map.Entry<?, ?> field : fields.entrySet()) {
                result.append(separator);
                append(result, field.getKey());
                result.append(':');
                append(result, field.getValue());
                separator = ",";
            }
            result.append(fields.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> elements) {
            String separator = "[";
            for (Object element : elements) {
                result.append(separator);
                append(result, element);
                separator = ",";
            }
            result.append(elements.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            result.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")).append('"');
        } else {
            result.append(value);
        }
    }
}
