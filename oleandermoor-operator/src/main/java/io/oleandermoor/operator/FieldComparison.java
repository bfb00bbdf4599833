package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Describes which fields of two values of the same type differ. */
final class FieldComparison {

    private FieldComparison() {}

    static String describe(Object before, Object after) {
        ObjectNode left = OperatorJson.tree(before);
        ObjectNode right = OperatorJson.tree(after);
        List<String> differences = new ArrayList<>();
        right.fieldNames().forEachRemaining(name -> {
            JsonNode old = left.path(name);
            if (!old.equals(right.path(name))) {
                differences.add(name + " " + text(old) + " -> " + text(right.path(name)));
            }
        });
        return String.join(", ", differences);
    }

    private static String text(JsonNode node) {
        return node.isTextual() ? node.textValue() : node.toString();
    }
}
