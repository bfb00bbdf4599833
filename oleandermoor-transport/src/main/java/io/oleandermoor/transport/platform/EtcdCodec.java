package io.oleandermoor.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.LeaseId;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WatchEvent;
import io.oleandermoor.transport.json.ExactJson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/** Writes requests and reads responses in the JSON form of the etcd version 3 API. */
final class EtcdCodec {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private EtcdCodec() {}

    static ObjectNode rangeOfKey(String key) {
        return MAPPER.createObjectNode().put("key", encode(key));
    }

    static ObjectNode rangeOfPrefix(String prefix) {
        return rangeOfKey(prefix).put("range_end", encode(endOfPrefix(prefix)));
    }

    static ObjectNode put(String key, long expectedRevision, byte[] value, Optional<LeaseId> lease) {
        ObjectNode request = MAPPER.createObjectNode();
        addCompare(request, key, expectedRevision);
        ObjectNode put = request.putArray("success").addObject().putObject("request_put");
        put.put("key", encode(key)).put("value", Base64.getEncoder().encodeToString(value));
        lease.ifPresent(id -> put.put("lease", Long.toString(id.value())));
        return request;
    }

    static ObjectNode delete(String key, long expectedRevision) {
        ObjectNode request = MAPPER.createObjectNode();
        addCompare(request, key, expectedRevision);
        request.putArray("success")
                .addObject()
                .putObject("request_delete_range")
                .put("key", encode(key));
        return request;
    }

    static ObjectNode watch(String prefix, long fromRevision) {
        ObjectNode request = MAPPER.createObjectNode();
        request.putObject("create_request")
                .put("key", encode(prefix))
                .put("range_end", encode(endOfPrefix(prefix)))
                .put("start_revision", Long.toString(fromRevision));
        return request;
    }

    static List<VersionedValue> readValues(JsonNode response) throws StoreException {
        List<VersionedValue> values = new ArrayList<>();
        for (JsonNode node : response.path("kvs")) {
            values.add(readValue(node));
        }
        return values;
    }

    static List<WatchEvent> readEvents(JsonNode message) throws StoreException {
        List<WatchEvent> events = new ArrayList<>();
        for (JsonNode event : message.path("result").path("events")) {
            VersionedValue value = readValue(event.path("kv"));
            boolean deleted = event.path("type").asText().equals("DELETE");
            events.add(new WatchEvent(value.key(), value.revision(), deleted ? Optional.empty() : Optional.of(value)));
        }
        return events;
    }

    static long readRevision(JsonNode response) throws StoreException {
        return readNumber(response.path("header"), "revision");
    }

    /**
     * Returns the whole number in a field, which is absent if it is 0.
     *
     * @throws StoreException if the field is anything else, or beyond the range of a long
     */
    static long readNumber(JsonNode parent, String name) throws StoreException {
        JsonNode field = parent.path(name);
        if (field.isMissingNode()) {
            return 0;
        }
        return ExactJson.wholeNumber(field)
                .orElseThrow(() -> new StoreException("field '" + name + "' is not a whole number: " + field));
    }

    private static VersionedValue readValue(JsonNode node) throws StoreException {
        Base64.Decoder decoder = Base64.getDecoder();
        String key = new String(decoder.decode(node.path("key").asText()), StandardCharsets.UTF_8);
        return new VersionedValue(
                key,
                readNumber(node, "mod_revision"),
                decoder.decode(node.path("value").asText()));
    }

    private static void addCompare(ObjectNode request, String key, long expectedRevision) {
        ObjectNode compare = request.putArray("compare").addObject();
        compare.put("key", encode(key)).put("target", "MOD").put("result", "EQUAL");
        compare.put("mod_revision", Long.toString(expectedRevision == KeyValueStore.ABSENT ? 0 : expectedRevision));
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the smallest key that is larger than all keys with the prefix. */
    private static String endOfPrefix(String prefix) {
        char last = prefix.charAt(prefix.length() - 1);
        return prefix.substring(0, prefix.length() - 1) + (char) (last + 1);
    }
}
