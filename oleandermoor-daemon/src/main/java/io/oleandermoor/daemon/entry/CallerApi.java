package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.CallKind;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.HttpCall;
import io.oleandermoor.protocol.message.RequestKey;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpHandler;
import io.oleandermoor.transport.peer.PeerConnection;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers callers: chat completions and calls of plain services. */
final class CallerApi implements HttpHandler {

    private static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private final UpstreamTable upstreams;

    private final RequestTable requests;

    private final PeerNetwork network;

    private final AtomicInteger turn = new AtomicInteger();

    CallerApi(UpstreamTable upstreams, RequestTable requests, PeerNetwork network) {
        this.upstreams = upstreams;
        this.requests = requests;
        this.network = network;
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            if (exchange.method().equals("POST") && exchange.path().equals(COMPLETIONS_PATH)) {
                complete(exchange);
            } else {
                throw new RefusedException(CallerError.notRun(404, "unknown_route", "no route for " + exchange.path()));
            }
        } catch (RefusedException refused) {
            exchange.respond(refused.error().toResponse());
        }
    }

    private void complete(HttpExchange exchange) throws RefusedException {
        ObjectNode body = CompletionRequest.parseBody(exchange.body());
        CompletionRequest request = CompletionRequest.of(body);
        PeerConnection agent = choose(request.target());
        RequestId id = new RequestId(
                ThreadLocalRandom.current().nextLong(),
                ThreadLocalRandom.current().nextLong());
        RequestKey key = RequestKey.newBuilder()
                .setHigh(id.high())
                .setLow(id.low())
                .setAttempt(1)
                .build();
        Dispatch dispatch = Dispatch.newBuilder()
                .setKey(key)
                .setKind(CallKind.COMPLETION)
                .setModel(request.target())
                .setRepeatable(true)
                .setMaximumTokens(request.maximumTokens())
                .setPromptTokens((int) request.promptTokens())
                .setCall(HttpCall.newBuilder()
                        .setMethod("POST")
                        .setPath(COMPLETIONS_PATH)
                        .setBody(ByteString.copyFrom(request.body().toString(), StandardCharsets.UTF_8)))
                .build();
        Responder responder = request.stream()
                ? new StreamResponder(exchange, id.toString(), request.target(), () -> cancel(agent, key))
                : new CollectResponder(exchange, id.toString(), request.target());
        requests.add(key, agent.remote().instance(), new ActiveRequest(dispatch, responder));
        if (!agent.send(Envelope.newBuilder().setDispatch(dispatch).build())) {
            requests.connectionLost(agent.remote().instance());
        }
    }

    private PeerConnection choose(String target) throws RefusedException {
        List<UpstreamDescription> candidates = upstreams.candidates(target);
        if (candidates.isEmpty()) {
            throw new RefusedException(CallerError.notRun(404, "unknown_model", "no upstream serves '" + target + "'"));
        }
        for (int tried = 0; tried < candidates.size(); tried++) {
            int index = Math.floorMod(turn.getAndIncrement(), candidates.size());
            Optional<PeerConnection> connection =
                    network.connection(candidates.get(index).instance());
            if (connection.isPresent()) {
                return connection.get();
            }
        }
        throw new RefusedException(CallerError.notRun(503, "unavailable", "no upstream can be reached")
                .retryAfter(PeerNetwork.CONNECT_INTERVAL_MILLIS));
    }

    private static void cancel(PeerConnection agent, RequestKey key) {
        agent.send(Envelope.newBuilder()
                .setCancel(io.oleandermoor.protocol.message.Cancel.newBuilder().setKey(key))
                .build());
    }
}
