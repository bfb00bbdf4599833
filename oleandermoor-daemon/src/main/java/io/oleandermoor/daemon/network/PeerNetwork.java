package io.oleandermoor.daemon.network;

import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Heartbeat;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.peer.PeerIdentity;
import io.oleandermoor.transport.peer.PeerListener;
import io.oleandermoor.transport.peer.PeerNode;
import io.oleandermoor.transport.platform.InstanceListClient;
import io.oleandermoor.transport.settings.Address;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps a connection to each other process that the instance list names and that this process should connect to.
 * Connections that other processes opened are used as well. Safe for use by several threads.
 */
public final class PeerNetwork implements AutoCloseable {

    /** Time between two attempts to connect to missing peers, in milliseconds. */
    public static final int CONNECT_INTERVAL_MILLIS = 250;

    private static final int LIST_INTERVAL_MILLIS = 2000;

    private static final Logger LOGGER = LogManager.getLogger(PeerNetwork.class);

    private final PeerIdentity self;

    private final InstanceListClient instanceList;

    private final Predicate<InstanceListClient.Instance> connectTo;

    private final PeerNode node;

    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

    private final Set<String> connecting = ConcurrentHashMap.newKeySet();

    private final CompositeDisposable timers = new CompositeDisposable();

    private volatile Collection<InstanceListClient.Instance> listed = Collections.emptyList();

    /**
     * Creates the network without opening anything.
     *
     * @param self this process
     * @param instanceList the platform's list
     * @param connectTo selects the instances to which this process opens connections
     * @param listener receives the events of connections
     * @param heartbeat supplies what heartbeats carry
     */
    public PeerNetwork(
            PeerIdentity self,
            InstanceListClient instanceList,
            Predicate<InstanceListClient.Instance> connectTo,
            PeerListener listener,
            Supplier<Heartbeat> heartbeat) {
        this.self = self;
        this.instanceList = instanceList;
        this.connectTo = connectTo;
        this.node = new PeerNode(self, new Registrar(listener), heartbeat, 2);
    }

    /**
     * Listens for connections and starts to connect to others.
     *
     * @param address the address to listen on
     * @throws IOException if the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException {
        node.listen(address);
        timers.add(Observable.interval(0, LIST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> readList()));
        timers.add(Observable.interval(CONNECT_INTERVAL_MILLIS / 4, CONNECT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .subscribe(tick -> connectMissing()));
    }

    /**
     * Returns the connection to an instance.
     *
     * @param instance the instance
     * @return the connection, or empty if there is none
     */
    public Optional<PeerConnection> connection(String instance) {
        return Optional.ofNullable(connections.get(instance)).filter(PeerConnection::isOpen);
    }

    /**
     * Returns the open connections.
     *
     * @return a view that changes as connections open and close
     */
    public Collection<PeerConnection> connections() {
        return Collections.unmodifiableCollection(connections.values());
    }

    /**
     * Returns the instances of the last list that could be read.
     *
     * @return the instances, empty before the first read
     */
    public Collection<InstanceListClient.Instance> listed() {
        return listed;
    }

    @Override
    public void close() {
        timers.dispose();
        node.close();
    }

    private void readList() {
        try {
            listed = instanceList.read();
        } catch (IOException exception) {
            LogEvent.of("instance_list_unavailable")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }

    private void connectMissing() {
        if (timers.isDisposed()) {
            // The loss of a connection during close opens no new one; the event loops accept no task any more.
            return;
        }
        for (InstanceListClient.Instance instance : listed) {
            String name = instance.instance();
            if (name.equals(self.instance()) || !connectTo.test(instance) || connections.containsKey(name)) {
                continue;
            }
            if (connecting.add(name)) {
                node.connect(Address.parse(instance.peerAddress()).toSocketAddress(), () -> connecting.remove(name));
            }
        }
    }

    private final class Registrar implements PeerListener {

        private final PeerListener next;

        Registrar(PeerListener next) {
            this.next = next;
        }

        @Override
        public void opened(PeerConnection connection) {
            PeerIdentity remote = connection.remote();
            connecting.remove(remote.instance());
            PeerConnection former = connections.put(remote.instance(), connection);
            LogEvent.of("peer_connected")
                    .with("peer", remote.instance())
                    .with("role", remote.role())
                    .with("incarnation", remote.incarnation())
                    .info(LOGGER);
            if (former != null && former.isOpen()) {
                former.close("replaced by a new connection");
            }
            next.opened(connection);
        }

        @Override
        public void received(PeerConnection connection, Envelope envelope) {
            next.received(connection, envelope);
        }

        @Override
        public void closed(PeerConnection connection) {
            String instance = connection.remote().instance();
            if (connections.remove(instance, connection)) {
                LogEvent.of("peer_lost").with("peer", instance).info(LOGGER);
                next.closed(connection);
                connectMissing();
            }
        }
    }
}
