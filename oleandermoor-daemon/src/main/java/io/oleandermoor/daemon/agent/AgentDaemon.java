package io.oleandermoor.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.CallKind;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Header;
import io.oleandermoor.protocol.message.HttpCall;
import io.oleandermoor.protocol.message.Item;
import io.oleandermoor.protocol.message.Items;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.protocol.message.NotRun;
import io.oleandermoor.protocol.message.NotRunReason;
import io.oleandermoor.protocol.message.RequestKey;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.transport.address.Addresses;
import io.oleandermoor.transport.client.HttpClients;
import io.oleandermoor.transport.client.UpstreamCall;
import io.oleandermoor.transport.client.UpstreamClient;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.peer.PeerIdentity;
import io.oleandermoor.transport.peer.PeerListener;
import io.oleandermoor.transport.platform.InstanceListClient;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The process beside one upstream. */
public final class AgentDaemon implements PeerListener, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AgentDaemon.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Duration UPSTREAM_SILENCE = Duration.ofSeconds(60);

    private static final int POLL_MILLIS = 500;

    private final AgentSettings settings;

    private final long incarnation = System.currentTimeMillis();

    private final OkHttpClient client = HttpClients.create(UPSTREAM_SILENCE);

    private final UpstreamClient upstream;

    private final PeerNetwork network;

    private final AtomicInteger running = new AtomicInteger();

    private final Map<RequestKey, UpstreamCall> calls = new ConcurrentHashMap<>();

    private volatile UpstreamDescription description;

    private volatile long sequence;

    private Disposable poll = Disposable.disposed();

    private HttpServer administration = new ClosedServer();

    /**
     * Creates the daemon without opening anything.
     *
     * @param settings the settings
     */
    public AgentDaemon(AgentSettings settings) {
        this.settings = settings;
        this.upstream = new UpstreamClient(client, settings.upstream().address());
        PeerIdentity self = new PeerIdentity(
                settings.instance(), Role.AGENT, incarnation, settings.failureDomain(), settings.peerAddress());
        this.network = new PeerNetwork(
                self,
                new InstanceListClient(client, settings.instanceListAddress()),
                instance -> false,
                this,
                this::load);
        this.description = describe(List.of());
    }

    /**
     * Starts to serve.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        administration = JoobyHttpServer.start(
                Addresses.parse(settings.administrationAddress()),
                1 << 16,
                exchange -> exchange.respond(HttpResponse.text(200, "ok\n")));
        network.start(Addresses.parse(settings.peerAddress()));
        if (settings.upstream().service().isEmpty()) {
            poll = Observable.interval(0, POLL_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                    .subscribe(tick -> pollModels());
        }
        LogEvent.of("agent_started")
                .with("instance", settings.instance())
                .with("upstream", settings.upstream().id())
                .info(LOGGER);
    }

    @Override
    public void opened(PeerConnection connection) {
        connection.send(announcement());
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
        switch (envelope.getPayloadCase()) {
            case DISPATCH -> run(connection, envelope.getDispatch());
            case CANCEL -> cancel(envelope.getCancel().getKey());
            default -> {
                // Heartbeats only keep the connection alive.
            }
        }
    }

    @Override
    public void closed(PeerConnection connection) {
        // Requests go on; the entry asks about them over a new connection.
    }

    @Override
    public void close() {
        poll.dispose();
        network.close();
        administration.close();
    }

    private Load load() {
        return Load.newBuilder()
                .setRunning(running.get())
                .setSlots(settings.upstream().slots())
                .build();
    }

    private void run(PeerConnection entry, Dispatch dispatch) {
        running.incrementAndGet();
        RunningRequest request = new RunningRequest(dispatch, entry, () -> {
            running.decrementAndGet();
            calls.remove(dispatch.getKey());
        });
        try {
            HttpCall call = dispatch.getCall();
            UpstreamCall started = dispatch.getKind() == CallKind.COMPLETION
                    ? upstream.complete(EngineBody.of(dispatch), request)
                    : upstream.call(
                            call.getMethod(),
                            call.getPath(),
                            headers(call),
                            call.getBody().toByteArray(),
                            request);
            calls.put(dispatch.getKey(), started);
        } catch (IOException | IllegalArgumentException exception) {
            running.decrementAndGet();
            entry.send(Envelope.newBuilder()
                    .setNotRun(NotRun.newBuilder().setKey(dispatch.getKey()).setReason(NotRunReason.REFUSED_CONTENT))
                    .build());
        }
    }

    private void cancel(RequestKey key) {
        UpstreamCall call = calls.get(key);
        if (call != null) {
            call.cancel();
        }
    }

    private static Map<String, String> headers(HttpCall call) {
        Map<String, String> headers = new HashMap<>();
        for (Header header : call.getHeadersList()) {
            headers.put(header.getName(), header.getValue());
        }
        return headers;
    }

    private void pollModels() {
        Request request = new Request.Builder()
                .url("http://" + settings.upstream().address() + "/v2/repository/index")
                .post(RequestBody.create("{\"ready\":true}", MediaType.get("application/json")))
                .build();
        List<String> models = new ArrayList<>();
        try (Response response = client.newCall(request).execute()) {
            for (JsonNode entry : MAPPER.readTree(response.body().bytes())) {
                if (entry.path("state").asText().equals("READY")) {
                    models.add(entry.path("name").asText());
                }
            }
        } catch (IOException exception) {
            LogEvent.of("upstream_unreachable")
                    .with("upstream", settings.upstream().id())
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
        UpstreamDescription next = describe(models);
        if (!next.equals(description)) {
            description = next;
            sequence++;
            network.broadcast(announcement());
        }
    }

    private UpstreamDescription describe(List<String> models) {
        AgentSettings.Upstream target = settings.upstream();
        return new UpstreamDescription(
                settings.instance(), target.id(), target.service(), settings.failureDomain(), false, models);
    }

    private Envelope announcement() {
        try {
            Item item = Item.newBuilder()
                    .setName(UpstreamDescription.ITEM_PREFIX + settings.instance())
                    .setVersion(incarnation + sequence)
                    .setContent(ByteString.copyFrom(MAPPER.writeValueAsBytes(description)))
                    .build();
            return Envelope.newBuilder()
                    .setItems(Items.newBuilder().addItems(item))
                    .build();
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a description can always be written as JSON", exception);
        }
    }

    private static final class ClosedServer implements HttpServer {

        @Override
        public int port() {
            return 0;
        }

        @Override
        public void close() {
            // Nothing was started.
        }
    }
}
