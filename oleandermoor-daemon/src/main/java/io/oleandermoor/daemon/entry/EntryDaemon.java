package io.oleandermoor.daemon.entry;

import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Item;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.transport.address.Addresses;
import io.oleandermoor.transport.client.HttpClients;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.peer.PeerIdentity;
import io.oleandermoor.transport.peer.PeerListener;
import io.oleandermoor.transport.platform.InstanceListClient;
import io.oleandermoor.transport.worker.WorkerPool;
import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** The process that callers talk to. */
public final class EntryDaemon implements PeerListener, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(EntryDaemon.class);

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

    private static final int MAXIMUM_BODY_BYTES = 2 * 1024 * 1024;

    private static final int WORKERS = 4;

    private final EntrySettings settings;

    private final WorkerPool workers = new WorkerPool(WORKERS);

    private final UpstreamTable upstreams = new UpstreamTable();

    private final RequestTable requests = new RequestTable(workers);

    private final PeerNetwork network;

    private final CallerApi callerApi;

    private @Nullable HttpServer callers;

    private @Nullable HttpServer administration;

    /**
     * Creates the daemon without opening anything.
     *
     * @param settings the settings
     */
    public EntryDaemon(EntrySettings settings) {
        this.settings = settings;
        OkHttpClient client = HttpClients.create(PLATFORM_TIMEOUT);
        PeerIdentity self = new PeerIdentity(
                settings.instance(),
                Role.ENTRY,
                System.currentTimeMillis(),
                settings.failureDomain(),
                settings.peerAddress());
        this.network = new PeerNetwork(
                self,
                new InstanceListClient(client, settings.instanceListAddress()),
                this::connectsTo,
                this,
                Load::getDefaultInstance);
        this.callerApi = new CallerApi(upstreams, requests, network);
    }

    /**
     * Starts to serve.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        administration = JoobyHttpServer.start(
                Addresses.parse(settings.administrationAddress()),
                MAXIMUM_BODY_BYTES,
                exchange -> exchange.respond(HttpResponse.text(200, "ok\n")));
        network.start(Addresses.parse(settings.peerAddress()));
        callers = JoobyHttpServer.start(Addresses.parse(settings.callerAddress()), MAXIMUM_BODY_BYTES, callerApi);
        LogEvent.of("entry_started")
                .with("instance", settings.instance())
                .with("callers", settings.callerAddress())
                .info(LOGGER);
    }

    @Override
    public void opened(PeerConnection connection) {
        // The agent announces its upstream.
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
        if (envelope.hasItems()) {
            for (Item item : envelope.getItems().getItemsList()) {
                accept(item);
            }
            return;
        }
        requests.received(connection.remote().instance(), envelope);
    }

    @Override
    public void closed(PeerConnection connection) {
        requests.connectionLost(connection.remote().instance());
    }

    @Override
    public void close() {
        if (callers != null) {
            callers.close();
        }
        network.close();
        if (administration != null) {
            administration.close();
        }
        workers.close();
    }

    /** Entries open connections to all agents; of two entries the one with the smaller name connects to the other. */
    private boolean connectsTo(InstanceListClient.Instance other) {
        return other.role().equals("agent") || settings.instance().compareTo(other.instance()) < 0;
    }

    private void accept(Item item) {
        if (!item.getName().startsWith(UpstreamDescription.ITEM_PREFIX)) {
            return;
        }
        try {
            upstreams.accept(item);
        } catch (IOException exception) {
            LogEvent.of("item_unreadable")
                    .with("item", item.getName())
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }
}
