package io.oleandermoor.daemon.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import io.oleandermoor.daemon.network.ItemExchange;
import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.CallKind;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.FinishReason;
import io.oleandermoor.protocol.message.HttpCall;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.protocol.message.NotRunReason;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.state.admission.AdmissionPolicy;
import io.oleandermoor.state.admission.QueueSettings;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.state.ledger.LedgerSettings;
import io.oleandermoor.state.ledger.RequestLedger;
import io.oleandermoor.transport.client.HttpClients;
import io.oleandermoor.transport.client.UpstreamClient;
import io.oleandermoor.transport.http.HttpHandler;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.peer.PeerIdentity;
import io.oleandermoor.transport.worker.WorkerPool;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the agent tells an entry when its upstream does not run a request. */
class RequestExecutorTest {

    private static final LongSupplier NOW_MILLIS = () -> System.nanoTime() / 1_000_000;

    private static final Duration LONG_SILENCE = Duration.ofSeconds(60);

    private static final AttemptKey KEY = new AttemptKey(new RequestId(0, 1), 1);

    private final RecordingConnection entry = new RecordingConnection();

    private final WorkerPool workers = new WorkerPool(1);

    private InetSocketAddress address;

    private Optional<HttpServer> upstream = Optional.empty();

    @BeforeEach
    void choosePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    @AfterEach
    void close() {
        upstream.ifPresent(HttpServer::close);
        workers.close();
    }

    /** Guards against a 404 for a configured model, passed on to the caller, while copies elsewhere could answer. */
    @Test
    void engineThatUnloadedTheModelDidNotRunTheRequest() throws Exception {
        answerWith(exchange -> exchange.respond(HttpResponse.json(404, "{}")));
        executor().received(entry, dispatch(CallKind.COMPLETION, true));
        assertThat(answer().getNotRun().getReason()).isEqualTo(NotRunReason.MODEL_NOT_READY);
    }

    /** Guards against a booking that is answered as "may have taken effect" although its service was not reached. */
    @Test
    void serviceThatRefusesConnectionsDidNotRunTheCall() {
        executor().received(entry, dispatch(CallKind.SERVICE, false));
        assertThat(answer().getNotRun().getReason()).isEqualTo(NotRunReason.UPSTREAM_UNREACHABLE);
    }

    /** Guards against a 404 of a plain service that is taken for a missing model. */
    @Test
    void statusOfAServiceIsPassedOn() throws Exception {
        answerWith(exchange -> exchange.respond(HttpResponse.json(404, "{}")));
        executor().received(entry, dispatch(CallKind.SERVICE, false));
        assertThat(answer().getFinished().getStatus()).isEqualTo(404);
    }

    /** Guards against a stream that waits for a paused engine as long as the longest silence of a connection. */
    @Test
    void streamOfASilentEngineIsMoved() throws Exception {
        answerWith(exchange -> {});
        RequestExecutor executor = executor();
        executor.received(entry, dispatch(CallKind.COMPLETION, true));
        await().until(() -> executor.size() == 1);
        executor.moveSilent(LONG_SILENCE.toMillis());
        await().pollDelay(Duration.ofMillis(50)).until(() -> executor.size() == 1);
        assertThat(entry.sent).as("a stream that waits for a short time only").isEmpty();
        executor.moveSilent(0);
        assertThat(answer().getFinished().getReason()).isEqualTo(FinishReason.MOVED);
    }

    private void answerWith(HttpHandler handler) throws Exception {
        upstream = Optional.of(JoobyHttpServer.start(address, 1 << 16, handler));
    }

    private Envelope answer() {
        await().atMost(Duration.ofSeconds(10)).until(() -> !entry.sent.isEmpty());
        assertThat(entry.sent).hasSize(1);
        return entry.sent.get(0);
    }

    private RequestExecutor executor() {
        FairWaitingQueue queue = new FairWaitingQueue(
                new QueueSettings(AdmissionPolicy.WEIGHTED, 4, 16, 1, 1, 10), fingerprint -> false, NOW_MILLIS);
        return new RequestExecutor(
                new RequestExecutor.Parts(
                        new RequestLedger(LedgerSettings.defaults()),
                        queue,
                        new UpstreamClient(
                                HttpClients.create(LONG_SILENCE),
                                address.getAddress().getHostAddress() + ":" + address.getPort()),
                        new CrashWatch(
                                new UpstreamId("upstream"),
                                address,
                                new NoItems(),
                                new CrashRegistry(1),
                                queue::charged,
                                NOW_MILLIS),
                        instance -> Optional.of(entry),
                        Load::getDefaultInstance,
                        () -> true),
                workers,
                new ProcessMetrics(),
                NOW_MILLIS);
    }

    private static Envelope dispatch(CallKind kind, boolean repeatable) {
        return Envelope.newBuilder()
                .setDispatch(Dispatch.newBuilder()
                        .setKey(AttemptMessages.toMessage(KEY))
                        .setTeam("team")
                        .setTeamWeight(1)
                        .setKind(kind)
                        .setRepeatable(repeatable)
                        .setRemainingMillis(60_000)
                        .setMaximumTokens(10)
                        .setPromptTokens(10)
                        .setCall(HttpCall.newBuilder()
                                .setMethod("POST")
                                .setPath("/bookings")
                                .setBody(ByteString.copyFromUtf8("{}"))))
                .build();
    }

    private static final class RecordingConnection implements PeerConnection {

        private final List<Envelope> sent = new CopyOnWriteArrayList<>();

        @Override
        public PeerIdentity remote() {
            return new PeerIdentity("entry-1", Role.ENTRY, 1, "domain", "127.0.0.1:1");
        }

        @Override
        public boolean send(Envelope envelope) {
            if (!envelope.hasAccepted()) {
                sent.add(envelope);
            }
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close(String reason) {}
    }

    private static final class NoItems implements ItemExchange {

        @Override
        public void publish(String name, long version, byte[] content) {}

        @Override
        public void publishToAll(String name, long version, byte[] content) {}

        @Override
        public void listen(String prefix, ItemListener listener) {}
    }
}
