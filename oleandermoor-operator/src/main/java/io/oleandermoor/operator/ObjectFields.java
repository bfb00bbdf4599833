package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object. A wrong or missing field is reported and replaced by a stand-in value, so that
 * reading goes on and all problems are reported together. Not safe for use by several threads.
 */
final class ObjectFields {

    private final LocatedJson json;
    private final JsonNode node;
    private final String path;
    private final TreeSet<String> known = new TreeSet<>();

    private ObjectFields(LocatedJson json, JsonNode node, String path) {
        this.json = json;
        this.node = node;
        this.path = path;
        if (!node.isObject() && !node.isMissingNode()) {
            json.error(path, "must be an object but is " + describe(node));
        }
    }

    /** Reads an object with a function and reports the fields that the function did not ask for. */
    static <T> T read(LocatedJson json, JsonNode node, String path, Function<ObjectFields, T> decoder) {
        ObjectFields fields = new ObjectFields(json, node, path);
        T result = decoder.apply(fields);
        fields.reportUnknown();
        return result;
    }

    /** Returns the text of a required field. */
    String text(String name) {
        return text(name, null);
    }

    /** Returns the text of a field, which is required if it has no default. */
    String text(String name, @Nullable String defaultValue) {
        JsonNode value = field(name, defaultValue == null);
        if (value.isMissingNode()) {
            return defaultValue == null ? standIn() : defaultValue;
        }
        if (!value.isTextual()) {
            json.error(child(name), "must be a text but is " + describe(value));
            return standIn();
        }
        return value.textValue();
    }

    /** Returns a required identifier. The stand-in for a wrong one differs for each object. */
    <T> T identifier(String name, Function<String, T> type) {
        return convert(child(name), text(name), type);
    }

    /** Returns a required value of a type with a checked text form. */
    <T> T value(String name, Function<String, T> type, T standIn) {
        String text = text(name);
        try {
            return type.apply(text);
        } catch (IllegalArgumentException exception) {
            json.error(child(name), message(exception));
            return standIn;
        }
    }

    /** Returns a list of identifiers, empty if absent. */
    <T> List<T> identifiers(String name, Function<String, T> type) {
        List<T> result = new ArrayList<>();
        JsonNode array = arrayField(name);
        for (int index = 0; index < array.size(); index++) {
            String place = child(name) + "[" + index + "]";
            if (array.get(index).isTextual()) {
                result.add(convert(place, array.get(index).textValue(), type));
            } else {
                json.error(place, "must be a text but is " + describe(array.get(index)));
            }
        }
        return result;
    }

    /** Returns a whole number, which is required if it has no default. */
    long number(String name, @Nullable Long defaultValue) {
        return number(name, defaultValue, Long.MAX_VALUE);
    }

    /** Returns a whole number that fits an {@code int}. */
    int smallNumber(String name, @Nullable Long defaultValue) {
        return (int) number(name, defaultValue, Integer.MAX_VALUE);
    }

    /** Returns a truth value. */
    boolean flag(String name, boolean defaultValue) {
        JsonNode value = field(name, false);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            json.error(child(name), "must be true or false but is " + describe(value));
        }
        return value.asBoolean(defaultValue);
    }

    /** Returns a required constant of an enum. */
    <E extends Enum<E>> E constant(String name, Class<E> type) {
        String text = text(name);
        return constant(child(name), text, type);
    }

    /** Returns a list of constants of an enum, empty if absent. */
    <E extends Enum<E>> List<E> constants(String name, Class<E> type) {
        List<E> result = new ArrayList<>();
        JsonNode array = arrayField(name);
        for (int index = 0; index < array.size(); index++) {
            result.add(
                    constant(child(name) + "[" + index + "]", array.get(index).asText(), type));
        }
        return result;
    }

    /** Returns a list of objects, empty if absent. */
    <T> List<T> objects(String name, Function<ObjectFields, T> decoder) {
        List<T> result = new ArrayList<>();
        JsonNode array = arrayField(name);
        for (int index = 0; index < array.size(); index++) {
            result.add(read(json, array.get(index), child(name) + "[" + index + "]", decoder));
        }
        return result;
    }

    /** Returns a required object; a missing one is reported and decoded from nothing. */
    <T> T object(String name, Function<ObjectFields, T> decoder) {
        JsonNode value = field(name, true);
        return read(json, value, child(name), decoder);
    }

    /** Returns an object, or empty if it is absent. */
    <T> Optional<T> optionalObject(String name, Function<ObjectFields, T> decoder) {
        JsonNode value = field(name, false);
        return value.isMissingNode() ? Optional.empty() : Optional.of(read(json, value, child(name), decoder));
    }

    /** Accepts every field, so that an object of an unknown type is reported once and not for each field. */
    void acceptAll() {
        node.fieldNames().forEachRemaining(known::add);
    }

    boolean has(String name) {
        return node.has(name);
    }

    void error(String name, String message) {
        json.error(child(name), message);
    }

    private long number(String name, @Nullable Long defaultValue, long maximum) {
        JsonNode value = field(name, defaultValue == null);
        if (value.isMissingNode()) {
            return defaultValue == null ? 1 : defaultValue;
        }
        if (!value.isIntegralNumber()) {
            json.error(child(name), "must be a whole number but is " + describe(value));
            return 1;
        }
        if (value.bigIntegerValue().abs().compareTo(BigInteger.valueOf(maximum)) > 0) {
            json.error(child(name), "must be at most " + maximum + " but is " + value);
            return 1;
        }
        return value.longValue();
    }

    private <T> T convert(String place, String text, Function<String, T> type) {
        try {
            return type.apply(text);
        } catch (IllegalArgumentException exception) {
            json.error(place, message(exception));
            return type.apply(standIn());
        }
    }

    private <E extends Enum<E>> E constant(String place, String text, Class<E> type) {
        E[] constants = type.getEnumConstants();
        for (E constant : constants) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        json.error(place, "must be one of " + Arrays.toString(constants) + " but is '" + text + "'");
        return constants[0];
    }

    private JsonNode arrayField(String name) {
        JsonNode value = field(name, false);
        if (!value.isMissingNode() && !value.isArray()) {
            json.error(child(name), "must be a list but is " + describe(value));
            return MissingNode.getInstance();
        }
        return value;
    }

    private JsonNode field(String name, boolean required) {
        known.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && required && node.isObject()) {
            json.error(child(name), "is missing");
        }
        return value;
    }

    private void reportUnknown() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!known.contains(name)) {
                json.error(child(name), "is not a known field; known are " + String.join(", ", known));
            }
        }
    }

    private String child(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private String standIn() {
        return "invalid:" + path.replaceAll("[^A-Za-z0-9]+", "-");
    }

    private static String message(IllegalArgumentException exception) {
        return String.valueOf(exception.getMessage());
    }

    private static String describe(JsonNode node) {
        return switch (node.getNodeType()) {
            case STRING -> "the text '" + node.textValue() + "'";
            case NUMBER, BOOLEAN -> node.asText();
            case NULL -> "null";
            default -> "of type " + node.getNodeType().name().toLowerCase(Locale.ROOT);
        };
    }
}
