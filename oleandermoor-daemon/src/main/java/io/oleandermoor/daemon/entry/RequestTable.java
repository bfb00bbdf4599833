package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.RequestKey;
import io.oleandermoor.transport.worker.WorkerPool;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The requests that this entry has under way, by their identity. Safe for use by several threads. */
final class RequestTable {

    private final Map<RequestKey, Placed> requests = new ConcurrentHashMap<>();

    private final WorkerPool workers;

    RequestTable(WorkerPool workers) {
        this.workers = workers;
    }

    void add(RequestKey key, String instance, ActiveRequest request) {
        requests.put(key, new Placed(instance, request));
    }

    int size() {
        return requests.size();
    }

    /** Hands a message of an agent to the request that it belongs to; a message for no known request is dropped. */
    void received(String instance, Envelope envelope) {
        switch (envelope.getPayloadCase()) {
            case CHUNK -> run(instance, envelope.getChunk().getKey(), request -> request.chunk(envelope.getChunk()));
            case FINISHED -> {
                RequestKey key = envelope.getFinished().getKey();
                run(instance, key, request -> request.finished(envelope.getFinished()));
                requests.remove(key);
            }
            case NOT_RUN -> {
                RequestKey key = envelope.getNotRun().getKey();
                run(instance, key, request -> request.notRun(envelope.getNotRun()));
                requests.remove(key);
            }
            default -> {
                // No other message belongs to a request.
            }
        }
    }

    void connectionLost(String instance) {
        requests.forEach((key, placed) -> {
            if (placed.instance.equals(instance)) {
                run(instance, key, ActiveRequest::connectionLost);
                requests.remove(key);
            }
        });
    }

    private void run(String instance, RequestKey key, Consumer<ActiveRequest> event) {
        Optional.ofNullable(requests.get(key))
                .filter(placed -> placed.instance.equals(instance))
                .ifPresent(placed -> workers.executor(key.getLow()).execute(() -> event.accept(placed.request)));
    }

    private record Placed(String instance, ActiveRequest request) {}
}
