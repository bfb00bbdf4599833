package io.oleandermoor.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.ConfigurationDocument;

/** Writes configuration documents and change requests as JSON. */
public final class OperatorJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectWriter WRITER = MAPPER.writer(new DefaultPrettyPrinter()
            .withArrayIndenter(DefaultIndenter.SYSTEM_LINEFEED_INSTANCE.withLinefeed("\n"))
            .withObjectIndenter(DefaultIndenter.SYSTEM_LINEFEED_INSTANCE.withLinefeed("\n")));

    private OperatorJson() {}

    /**
     * Returns a document as JSON, indented, with the line break at its end.
     *
     * @param document the document
     * @return a text that {@link DocumentReader} reads back as an equal document
     */
    public static String document(ConfigurationDocument document) {
        return pretty(tree(document));
    }

    /**
     * Returns the configuration in force as JSON, in which the hash of each key has only its first 8 digits.
     *
     * @param configuration the configuration
     * @return a text that {@link ConfigurationListing#read} reads
     */
    public static String listing(Configuration configuration) {
        ObjectNode document = tree(configuration.toDocument());
        for (JsonNode key : document.path("keys")) {
            ObjectNode object = (ObjectNode) key;
            object.put("hash", object.path("hash").asText().substring(0, ConfigurationListing.HASH_PREFIX_DIGITS));
        }
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("version", configuration.version());
        answer.set("document", document);
        return answer.toString();
    }

    /**
     * Returns a change request as JSON.
     *
     * @param request the request
     * @return a text that {@link ChangeRequestReader} reads back as an equal request
     */
    public static String changeRequest(ChangeRequest request) {
        ObjectNode tree = tree(request.changeSet());
        request.expectedVersion().ifPresent(version -> tree.put("expectedVersion", version));
        return tree.toString();
    }

    static ObjectNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    static ObjectNode emptyTree() {
        return MAPPER.createObjectNode();
    }

    static String pretty(JsonNode tree) {
        try {
            return WRITER.writeValueAsString(tree) + "\n";
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a tree in memory can always be written", exception);
        }
    }
}
