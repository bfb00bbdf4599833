package io.oleandermoor.operator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.Severity;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A JSON tree that knows the line and column of each value, with the findings made about it. At most one finding is
 * kept for a place, because a second one is usually a consequence of the first. Not safe for use by several threads.
 */
final class LocatedJson {

    /** Path of the whole text. */
    static final String ROOT = "";

    private static final int MAXIMUM_DEPTH = 32;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAXIMUM_DEPTH)
                    .build())
            .build();

    private final Findings findings;
    private final Map<String, JsonLocation> locations = new HashMap<>();
    private final Set<String> reported = new HashSet<>();
    private JsonNode root = JsonNodeFactory.instance.missingNode();

    private LocatedJson(Findings findings) {
        this.findings = findings;
    }

    /** Reads a text. A syntax error is a finding, and the tree is then missing. */
    static LocatedJson parse(byte[] text, int maximumBytes, Findings findings) {
        LocatedJson json = new LocatedJson(findings);
        if (text.length > maximumBytes) {
            json.error(ROOT, "has " + text.length + " bytes, more than the limit of " + maximumBytes);
            return json;
        }
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                json.error(ROOT, "is empty");
                return json;
            }
            JsonNode tree = json.read(parser, ROOT);
            if (parser.nextToken() != null) {
                json.locations.put(ROOT, parser.currentTokenLocation());
                json.error(ROOT, "has text after its end");
                return json;
            }
            json.root = tree;
        } catch (JsonProcessingException exception) {
            JsonLocation location = exception.getLocation();
            if (location != null) {
                json.locations.put(ROOT, location);
            }
            json.error(ROOT, "is not valid JSON: " + exception.getOriginalMessage());
        } catch (IOException exception) {
            json.error(ROOT, "cannot be read: " + exception.getMessage());
        }
        return json;
    }

    /** Wraps a tree that did not come from a text; its places have no lines. */
    static LocatedJson of(JsonNode tree, Findings findings) {
        LocatedJson json = new LocatedJson(findings);
        json.root = tree;
        return json;
    }

    JsonNode root() {
        return root;
    }

    boolean hasErrors() {
        return findings.hasErrors();
    }

    void error(String path, String message) {
        if (reported.add(path)) {
            findings.error(place(path), message);
        }
    }

    /** Adds findings whose places are paths of this tree, unless the same place was reported before. */
    void addAll(Findings others) {
        for (Finding finding : others.list()) {
            if (!reported.add(finding.place())) {
                continue;
            }
            if (finding.severity() == Severity.ERROR) {
                findings.error(place(finding.place()), finding.message());
            } else {
                findings.warning(place(finding.place()), finding.message());
            }
        }
    }

    private String place(String path) {
        String name = path.isEmpty() ? "document" : path;
        JsonLocation location = locations.get(path);
        if (location == null && path.contains(".")) {
            location = locations.get(path.substring(0, path.lastIndexOf('.')));
        }
        return location == null
                ? name
                : name + " (line " + location.getLineNr() + ", column " + location.getColumnNr() + ")";
    }

    private JsonNode read(JsonParser parser, String path) throws IOException {
        locations.put(path, parser.currentTokenLocation());
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readArray(parser, path);
            case VALUE_STRING -> nodes.textNode(parser.getText());
            case VALUE_NUMBER_INT -> nodes.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> nodes.booleanNode(true);
            case VALUE_FALSE -> nodes.booleanNode(false);
            default -> nodes.nullNode();
        };
    }

    private ObjectNode readObject(JsonParser parser, String path) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String child = path.isEmpty() ? name : path + "." + name;
            parser.nextToken();
            JsonNode value = read(parser, child);
            if (object.has(name)) {
                error(child, "is given twice");
            } else {
                object.set(name, value);
            }
        }
        return object;
    }

    private ArrayNode readArray(JsonParser parser, String path) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(read(parser, path + "[" + array.size() + "]"));
        }
        return array;
    }
}
