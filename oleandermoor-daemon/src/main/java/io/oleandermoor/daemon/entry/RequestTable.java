package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.RequestKey;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.ledger.AttemptEvent;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.worker.Timers;
import io.oleandermoor.transport.worker.WorkerPool;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The requests that this entry has under way, by their identity. Hands each event to the request that it belongs to, on
 * the worker of that request. Safe for use by several threads.
 */
final class RequestTable {

    /** Time after the loss of a connection in which a new one must succeed, or the agent counts as dead. */
    static final long AGENT_DEAD_MILLIS = 1_000;

    private final Map<RequestId, ActiveRequest> requests = new ConcurrentHashMap<>();

    private final WorkerPool workers;

    private final Timers timers;

    private final Predicate<String> isConnected;

    private final int limit;

    /** Number of requests that have a place; at least the size of the table. */
    private final AtomicInteger places = new AtomicInteger();

    RequestTable(WorkerPool workers, Timers timers, Predicate<String> isConnected, int limit) {
        this.limit = limit;
        this.workers = workers;
        this.timers = timers;
        this.isConnected = isConnected;
    }

    /** Takes a place for a request that is to be started, unless as many as the limit are in flight. */
    boolean tryEnter() {
        return places.getAndUpdate(count -> count < limit ? count + 1 : count) < limit;
    }

    /** Gives back the place of a request that was not started. */
    void leave() {
        places.decrementAndGet();
    }

    /** Starts a request that has a place; the place becomes free when the request ends. */
    void start(CallerRequest request, Responder responder, EntryServices services) {
        ActiveRequest active = new ActiveRequest(
                request, responder, services, workers.executor(request.id().low()), ended -> {
                    if (requests.remove(ended.request().id(), ended)) {
                        leave();
                    }
                });
        requests.put(request.id(), active);
        run(active, ActiveRequest::start);
    }

    int size() {
        return requests.size();
    }

    /** Tells a request that its caller has closed the connection. */
    void callerGone(RequestId id) {
        Optional.ofNullable(requests.get(id))
                .ifPresent(active -> run(active, request -> request.on(new AttemptEvent.CallerDisconnected())));
    }

    /** Ends the requests that run for keys that are no longer valid. */
    void endRequestsWith(Predicate<CallerRequest> revoked) {
        for (ActiveRequest active : requests.values()) {
            if (revoked.test(active.request())) {
                run(active, ActiveRequest::keyRevoked);
            }
        }
    }

    /** Hands a message of an agent to the request that it belongs to; a message for no known request is dropped. */
    void received(PeerConnection connection, Envelope envelope) {
        switch (envelope.getPayloadCase()) {
            case ACCEPTED ->
                find(envelope.getAccepted().getKey(), (active, key) -> active.on(new AttemptEvent.Accepted(key)));
            case CHUNK ->
                find(
                        envelope.getChunk().getKey(),
                        (active, key) -> active.on(
                                new AttemptEvent.ChunkReceived(key, AttemptMessages.fromMessage(envelope.getChunk()))));
            case FINISHED ->
                find(envelope.getFinished().getKey(), (active, key) -> {
                    active.promptCounted(envelope.getFinished().getPromptTokens());
                    active.on(new AttemptEvent.Finished(key, AttemptMessages.fromMessage(envelope.getFinished())));
                });
            case NOT_RUN ->
                find(
                        envelope.getNotRun().getKey(),
                        (active, key) -> active.on(new AttemptEvent.NotRun(
                                key,
                                connection.remote().incarnation(),
                                AttemptMessages.fromMessage(envelope.getNotRun().getReason()),
                                envelope.getNotRun().getRetryAfterMillis())));
            case QUERY_RESULT ->
                find(
                        envelope.getQueryResult().getKey(),
                        (active, key) -> active.on(new AttemptEvent.QueryAnswered(
                                key,
                                connection.remote().incarnation(),
                                AttemptMessages.fromMessage(
                                        envelope.getQueryResult().getState()))));
            case ATTACH_FAILED ->
                find(
                        envelope.getAttachFailed().getKey(),
                        (active, key) -> active.on(new AttemptEvent.AttachFailed(
                                key,
                                connection.remote().incarnation(),
                                AttemptMessages.fromMessage(
                                        envelope.getAttachFailed().getState()))));
            default -> {
                // No other message belongs to a request.
            }
        }
    }

    void connectionOpened(PeerConnection connection) {
        atInstance(connection.remote().instance(), active -> active.reconnected(connection));
    }

    void connectionLost(String instance) {
        atInstance(
                instance,
                active -> active.currentAttempt().ifPresent(key -> active.on(new AttemptEvent.ConnectionLost(key))));
        var unused = timers.schedule(AGENT_DEAD_MILLIS, () -> {
            if (!isConnected.test(instance)) {
                atInstance(
                        instance,
                        active -> active.currentAttempt().ifPresent(key -> active.on(new AttemptEvent.AgentDead(key))));
            }
        });
    }

    private void atInstance(String instance, Consumer<ActiveRequest> event) {
        for (ActiveRequest active : requests.values()) {
            run(active, request -> {
                if (request.isAt(instance)) {
                    event.accept(request);
                }
            });
        }
    }

    private void find(RequestKey message, BiConsumer<ActiveRequest, AttemptKey> event) {
        AttemptKey key = AttemptMessages.fromMessage(message);
        ActiveRequest active = requests.get(key.request());
        if (active != null) {
            run(active, request -> event.accept(request, key));
        }
    }

    private void run(ActiveRequest active, Consumer<ActiveRequest> event) {
        workers.executor(active.request().id().low()).execute(() -> event.accept(active));
    }
}
