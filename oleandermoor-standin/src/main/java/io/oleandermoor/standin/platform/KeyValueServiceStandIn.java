package io.oleandermoor.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.LeaseId;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WatchEvent;
import io.oleandermoor.coordination.store.WriteResult;
import io.oleandermoor.transport.http.EventStream;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.settings.Address;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The key-value service: the part of the etcd version 3 JSON API that oleandermoor uses, in front of a store in memory.
 * {@code GET /stand-in/status} reports the number of calls, {@code POST /stand-in/faults} sets a {@link StoreFaults}.
 */
public final class KeyValueServiceStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FaultyKeyValueStore store;

    private final HttpServer server;

    private final AtomicLong calls = new AtomicLong();

    private final AtomicLong writes = new AtomicLong();

    private final AtomicInteger answersToLose = new AtomicInteger();

    private volatile String loseUnder = "";

    /**
     * Starts the stand-in.
     *
     * @param address the address to listen on as {@code ip:port}
     * @param store holds the values; its failures are answered with status 503
     * @throws IOException if the address cannot be bound
     */
    public KeyValueServiceStandIn(String address, FaultyKeyValueStore store) throws IOException {
        this.store = store;
        server = JoobyHttpServer.start(Address.parse(address).toSocketAddress(), MAXIMUM_BODY_BYTES, this::handle);
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * Sets the failures from now on. A lapse of leases happens once, at this call.
     *
     * @param faults the failures
     */
    public void setFaults(StoreFaults faults) {
        store.setDelay(Duration.ofMillis(faults.requestDelayMillis()), Duration.ofMillis(faults.answerDelayMillis()));
        loseUnder = faults.loseUnder();
        answersToLose.set(faults.loseAnswers());
        store.setDown(faults.down());
        if (faults.lapseLeases()) {
            store.lapseLeases().blockingAwait();
        }
    }

    private void handle(HttpExchange exchange) {
        try {
            if (exchange.path().equals("/stand-in/status")) {
                exchange.respond(
                        HttpResponse.json(200, "{\"calls\":" + calls.get() + ",\"writes\":" + writes.get() + "}"));
                return;
            }
            if (exchange.path().equals("/stand-in/faults")) {
                setFaults(MAPPER.readValue(exchange.body(), StoreFaults.class));
                exchange.respond(HttpResponse.text(200, "ok\n"));
                return;
            }
            calls.incrementAndGet();
            JsonNode body = MAPPER.readTree(exchange.body());
            switch (exchange.path()) {
                case "/v3/kv/range" -> answer(exchange, range(body));
                case "/v3/kv/txn" -> answer(exchange, transaction(body));
                case "/v3/lease/grant" -> answer(exchange, grant(body));
                case "/v3/lease/keepalive" -> answer(exchange, keepAlive(body));
                case "/v3/lease/revoke" ->
                    answer(exchange, store.revokeLease(lease(body)).toSingle(MAPPER::createObjectNode));
                case "/v3/watch" -> watch(exchange, body.path("create_request"));
                default -> exchange.respond(HttpResponse.text(404, "not found\n"));
            }
        } catch (IOException exception) {
            exchange.respond(HttpResponse.text(400, "bad request\n"));
        }
    }

    private static void answer(HttpExchange exchange, Single<ObjectNode> result) {
        var unused = result.subscribe(
                node -> exchange.respond(HttpResponse.json(200, node.toString())),
                failure -> exchange.respond(HttpResponse.text(503, "unavailable\n")));
    }

    private Single<ObjectNode> range(JsonNode body) {
        String key = decode(body.path("key"));
        Single<List<VersionedValue>> values = body.has("range_end")
                ? store.list(key)
                : store.get(key).map(value -> value.stream().toList());
        return values.map(list -> {
            ObjectNode response = MAPPER.createObjectNode();
            ArrayNode array = response.putArray("kvs");
            list.forEach(value -> putValue(array.addObject(), value));
            return response;
        });
    }

    private Single<ObjectNode> transaction(JsonNode body) throws IOException {
        writes.incrementAndGet();
        JsonNode compare = body.path("compare").path(0);
        String key = decode(compare.path("key"));
        long expected = compare.path("mod_revision").asLong();
        JsonNode operation = body.path("success").path(0);
        Single<WriteResult> result;
        if (operation.has("request_put")) {
            JsonNode put = operation.path("request_put");
            Optional<LeaseId> lease =
                    put.has("lease") ? Optional.of(new LeaseId(put.path("lease").asLong())) : Optional.empty();
            result = store.compareAndSet(
                    key, expected, Base64.getDecoder().decode(put.path("value").asText()), lease);
        } else if (operation.has("request_delete_range")) {
            result = store.compareAndDelete(key, expected);
        } else {
            throw new IOException("unsupported operation");
        }
        return result.map(write -> {
            if (key.startsWith(loseUnder) && answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
                throw new StoreException("answer to the write of " + key + " is lost");
            }
            ObjectNode response = MAPPER.createObjectNode();
            response.putObject("header").put("revision", Long.toString(write.revision()));
            return response.put("succeeded", write.applied());
        });
    }

    private Single<ObjectNode> grant(JsonNode body) {
        writes.incrementAndGet();
        long seconds = body.path("TTL").asLong();
        return store.grantLease(Duration.ofSeconds(seconds))
                .map(lease -> MAPPER.createObjectNode()
                        .put("ID", Long.toString(lease.value()))
                        .put("TTL", Long.toString(seconds)));
    }

    private Single<ObjectNode> keepAlive(JsonNode body) {
        return store.renewLease(lease(body)).map(renewed -> {
            ObjectNode response = MAPPER.createObjectNode();
            response.putObject("result").put("ID", body.path("ID").asText()).put("TTL", renewed ? "1" : "0");
            return response;
        });
    }

    private void watch(HttpExchange exchange, JsonNode request) {
        SerialDisposable subscription = new SerialDisposable();
        EventStream stream =
                exchange.startEventStream(Map.of(HttpResponse.CONTENT_TYPE, "application/json"), subscription::dispose);
        stream.send("{\"result\":{\"created\":true}}\n".getBytes(StandardCharsets.UTF_8));
        subscription.set(store.watch(
                        decode(request.path("key")),
                        request.path("start_revision").asLong())
                .subscribe(event -> stream.send(eventLine(event)), failure -> stream.end(), stream::end));
    }

    private static byte[] eventLine(WatchEvent event) {
        ObjectNode line = MAPPER.createObjectNode();
        ObjectNode entry = line.putObject("result").putArray("events").addObject();
        entry.put("type", event.value().isPresent() ? "PUT" : "DELETE");
        putValue(
                entry.putObject("kv"),
                event.value().orElse(new VersionedValue(event.key(), event.revision(), new byte[0])));
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static void putValue(ObjectNode node, VersionedValue value) {
        Base64.Encoder encoder = Base64.getEncoder();
        node.put("key", encoder.encodeToString(value.key().getBytes(StandardCharsets.UTF_8)));
        node.put("mod_revision", Long.toString(value.revision()));
        node.put("value", encoder.encodeToString(value.value()));
    }

    private static LeaseId lease(JsonNode body) {
        return new LeaseId(body.path("ID").asLong());
    }

    private static String decode(JsonNode node) {
        return new String(Base64.getDecoder().decode(node.asText()), StandardCharsets.UTF_8);
    }
}
