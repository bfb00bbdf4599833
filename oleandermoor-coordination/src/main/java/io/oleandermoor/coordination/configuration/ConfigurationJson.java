package io.oleandermoor.coordination.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.oleandermoor.state.configuration.ChangeSet;
import java.io.IOException;

/** Reads and writes configuration values as JSON. Thread-safe. */
public final class ConfigurationJson {

    /** Unknown properties are ignored, because a newer process may write them while the fleet is being updated. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private ConfigurationJson() {}

    /**
     * Writes a set of changes, for example as the content of an item.
     *
     * @param changeSet the changes
     * @return JSON in UTF-8
     */
    public static byte[] write(ChangeSet changeSet) {
        return writeValue(changeSet);
    }

    /**
     * Reads a set of changes.
     *
     * @param json JSON in UTF-8
     * @return the changes
     * @throws IOException if the JSON is not a set of changes
     */
    public static ChangeSet readChangeSet(byte[] json) throws IOException {
        return readValue(json, ChangeSet.class);
    }

    static byte[] writeValue(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("configuration values can be written as JSON", exception);
        }
    }

    static <T> T readValue(byte[] json, Class<T> type) throws IOException {
        return MAPPER.readValue(json, type);
    }
}
