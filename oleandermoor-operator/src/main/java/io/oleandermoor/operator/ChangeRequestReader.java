package io.oleandermoor.operator;

import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.TeamName;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Function;

/** Reads change requests from JSON and reports everything that is wrong together. Safe for use by several threads. */
public final class ChangeRequestReader {

    private static final Map<String, Function<ObjectFields, Change>> DECODERS = new TreeMap<>(Map.ofEntries(
            decoder("put-team", fields -> new Change.PutTeam(fields.object("team", ElementDecoder::team))),
            decoder("remove-team", fields -> new Change.RemoveTeam(fields.identifier("team", TeamName::new))),
            decoder("issue-key", fields -> new Change.IssueKey(fields.object("key", ElementDecoder::key))),
            decoder("revoke-key", fields -> new Change.RevokeKey(ElementDecoder.identifierText(fields, "keyId"))),
            decoder("put-model", fields -> new Change.PutModel(fields.object("model", ElementDecoder::model))),
            decoder("remove-model", fields -> new Change.RemoveModel(fields.identifier("model", ModelName::new))),
            decoder("put-adapter", fields -> new Change.PutAdapter(fields.object("adapter", ElementDecoder::adapter))),
            decoder(
                    "remove-adapter",
                    fields -> new Change.RemoveAdapter(fields.identifier("adapter", AdapterName::new))),
            decoder("put-route", fields -> new Change.PutRoute(fields.object("route", ElementDecoder::route))),
            decoder("remove-route", fields -> new Change.RemoveRoute(fields.identifier("route", RouteName::new))),
            decoder(
                    "put-admission",
                    fields -> new Change.PutAdmission(fields.object("admission", ElementDecoder::admission))),
            decoder(
                    "put-weight-store",
                    fields -> new Change.PutWeightStore(fields.object("weightStore", ElementDecoder::weightStore))),
            decoder(
                    "put-opening-hours",
                    fields -> new Change.PutOpeningHours(fields.object("openingHours", ElementDecoder::openingHours))),
            decoder(
                    "remove-opening-hours",
                    fields -> new Change.RemoveOpeningHours(ElementDecoder.identifierText(fields, "group")))));

    private final int maximumBytes;

    /**
     * Creates a reader.
     *
     * @param maximumBytes size of the largest request that is read, in bytes; positive
     */
    public ChangeRequestReader(int maximumBytes) {
        if (maximumBytes <= 0) {
            throw new IllegalArgumentException("maximumBytes must be positive: " + maximumBytes);
        }
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reads a change request.
     *
     * @param json the text in UTF-8
     * @return the request; its changes are well-formed but not checked against a configuration
     * @throws InvalidInputException if the text has errors; carries all of them
     */
    public ChangeRequest read(byte[] json) throws InvalidInputException {
        Findings findings = new Findings();
        LocatedJson tree = LocatedJson.parse(json, maximumBytes, findings);
        findings.throwIfErrors();
        ChangeRequest request = ObjectFields.read(tree, tree.root(), LocatedJson.ROOT, ChangeRequestReader::request);
        findings.throwIfErrors();
        return request;
    }

    private static ChangeRequest request(ObjectFields fields) {
        OptionalLong expectedVersion = OptionalLong.empty();
        if (fields.has("expectedVersion")) {
            expectedVersion = OptionalLong.of(fields.number("expectedVersion", null));
            if (expectedVersion.getAsLong() < 0) {
                fields.error("expectedVersion", "must not be negative but is " + expectedVersion.getAsLong());
            }
        }
        ChangeSet changeSet = new ChangeSet(
                ElementDecoder.identifierText(fields, "changeId"),
                fields.text("author"),
                fields.objects("changes", ChangeRequestReader::change));
        if (changeSet.changes().isEmpty()) {
            fields.error("changes", "must have at least one change");
        }
        return new ChangeRequest(changeSet, expectedVersion);
    }

    private static Change change(ObjectFields fields) {
        String type = fields.text("type");
        Function<ObjectFields, Change> decoder = DECODERS.get(type);
        if (decoder == null) {
            fields.error("type", "must be one of " + DECODERS.keySet() + " but is '" + type + "'");
            fields.acceptAll();
            return new Change.RevokeKey(type);
        }
        return decoder.apply(fields);
    }

    private static Map.Entry<String, Function<ObjectFields, Change>> decoder(
            String type, Function<ObjectFields, Change> decoder) {
        return Map.entry(type, decoder);
    }

    /**
     * Returns the types of change that are understood.
     *
     * @return the values of the field {@code type}, in alphabetical order
     */
    public static List<String> types() {
        return List.copyOf(DECODERS.keySet());
    }
}
