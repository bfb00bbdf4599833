package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The configuration in force as an operator may see it: without the full hashes of the keys.
 *
 * @param version the version in force
 * @param document the content without keys
 * @param keys the keys
 */
public record ConfigurationListing(long version, ConfigurationDocument document, List<ListedKey> keys) {

    /** Number of digits of the hash of a key that are shown. */
    public static final int HASH_PREFIX_DIGITS = 8;

    private static final int MAXIMUM_BYTES = 64 << 20;

    /** Copies the list. */
    public ConfigurationListing {
        keys = List.copyOf(keys);
    }

    /**
     * A key that was issued.
     *
     * @param id public identifier of the key
     * @param team the team of the key
     * @param hashPrefix the first digits of its hash
     */
    public record ListedKey(String id, TeamName team, String hashPrefix) {

        /**
         * Returns whether this entry can stand for a key.
         *
         * @param key the key
         * @return true if identifier, team and the first digits of the hash agree
         */
        public boolean matches(ApiKey key) {
            return id.equals(key.id())
                    && team.equals(key.team())
                    && key.hash().value().startsWith(hashPrefix);
        }
    }

    /**
     * Returns the listing of a configuration.
     *
     * @param configuration the configuration
     * @return what an operator sees of it
     */
    public static ConfigurationListing of(Configuration configuration) {
        ConfigurationDocument document = configuration.toDocument();
        List<ListedKey> keys = document.keys().stream()
                .map(key ->
                        new ListedKey(key.id(), key.team(), key.hash().value().substring(0, HASH_PREFIX_DIGITS)))
                .toList();
        return new ConfigurationListing(
                configuration.version(),
                new ConfigurationDocument(
                        document.teams(),
                        List.of(),
                        document.models(),
                        document.adapters(),
                        document.routes(),
                        document.settings()),
                keys);
    }

    /**
     * Reads a listing as written by {@link OperatorJson#listing}.
     *
     * @param json the text in UTF-8
     * @return the listing
     * @throws InvalidInputException if the text has errors
     */
    public static ConfigurationListing read(byte[] json) throws InvalidInputException {
        Findings findings = new Findings();
        LocatedJson tree = LocatedJson.parse(json, MAXIMUM_BYTES, findings);
        findings.throwIfErrors();
        JsonNode versionNode = tree.root().path("version");
        long version = versionNode.isIntegralNumber() && versionNode.canConvertToLong() ? versionNode.longValue() : -1;
        if (version < 0 || !(tree.root().path("document") instanceof ObjectNode)) {
            findings.error("document", "must have a version and a document");
        }
        findings.throwIfErrors();
        ObjectNode content = (ObjectNode) tree.root().path("document");
        List<ListedKey> keys = listedKeys(content, findings);
        content.remove("keys");
        Optional<ConfigurationDocument> document = DocumentReader.decode(content, findings);
        findings.throwIfErrors();
        return new ConfigurationListing(version, document.orElseThrow(), keys);
    }

    private static List<ListedKey> listedKeys(ObjectNode content, Findings findings) {
        List<ListedKey> keys = new ArrayList<>();
        if (content.path("keys") instanceof ArrayNode list) {
            list.forEach(key -> {
                String team = key.path("team").asText();
                if (Identifiers.isValid(team)) {
                    keys.add(new ListedKey(
                            key.path("id").asText(),
                            new TeamName(team),
                            key.path("hash").asText()));
                } else {
                    findings.error("document.keys", "'" + team + "' is not the name of a team");
                }
            });
        }
        return keys;
    }
}
