package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.configuration.ConfigurationValidator;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * Reads configuration documents from JSON and reports everything that is wrong together, each problem with its path
 * and, for a text, with line and column. Immutable and safe for use by several threads.
 */
public final class DocumentReader {

    /** Size up to which a document is read if nothing else is set, in bytes. */
    public static final int DEFAULT_MAXIMUM_BYTES = 8 << 20;

    private final int maximumBytes;

    /** Creates a reader with the default limit. */
    public DocumentReader() {
        this(DEFAULT_MAXIMUM_BYTES);
    }

    /**
     * Creates a reader.
     *
     * @param maximumBytes size of the largest document that is read, in bytes; positive
     */
    public DocumentReader(int maximumBytes) {
        if (maximumBytes <= 0) {
            throw new IllegalArgumentException("maximumBytes must be positive: " + maximumBytes);
        }
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reads a document.
     *
     * @param json the text in UTF-8
     * @return the document
     * @throws InvalidInputException if the text has errors; carries all of them
     */
    public ConfigurationDocument read(byte[] json) throws InvalidInputException {
        Findings findings = new Findings();
        Optional<ConfigurationDocument> document = read(json, findings);
        findings.throwIfErrors();
        return document.orElseThrow();
    }

    /**
     * Reads a document from a stream, at most one byte beyond the limit.
     *
     * @param stream the text in UTF-8; not closed
     * @return the document
     * @throws IOException if the stream cannot be read
     * @throws InvalidInputException if the text has errors; carries all of them
     */
    public ConfigurationDocument read(InputStream stream) throws IOException, InvalidInputException {
        return read(stream.readNBytes(maximumBytes + 1));
    }

    /**
     * Reads a document and collects errors and warnings.
     *
     * @param json the text in UTF-8
     * @param findings receives what was found
     * @return the document, or empty if there are errors
     */
    public Optional<ConfigurationDocument> read(byte[] json, Findings findings) {
        return decode(LocatedJson.parse(json, maximumBytes, findings));
    }

    /** Decodes a tree that was built in memory. */
    static Optional<ConfigurationDocument> decode(JsonNode tree, Findings findings) {
        return decode(LocatedJson.of(tree, findings));
    }

    private static Optional<ConfigurationDocument> decode(LocatedJson json) {
        if (json.root().isMissingNode()) {
            return Optional.empty();
        }
        ConfigurationDocument document =
                ObjectFields.read(json, json.root(), LocatedJson.ROOT, DocumentReader::document);
        Findings contradictions = new Findings();
        ConfigurationValidator.validate(document, contradictions);
        json.addAll(contradictions);
        return json.hasErrors() ? Optional.empty() : Optional.of(document);
    }

    private static ConfigurationDocument document(ObjectFields fields) {
        return new ConfigurationDocument(
                fields.objects("teams", ElementDecoder::team),
                fields.objects("keys", ElementDecoder::key),
                fields.objects("models", ElementDecoder::model),
                fields.objects("adapters", ElementDecoder::adapter),
                fields.objects("routes", ElementDecoder::route),
                fields.optionalObject("settings", ElementDecoder::settings).orElse(null));
    }
}
