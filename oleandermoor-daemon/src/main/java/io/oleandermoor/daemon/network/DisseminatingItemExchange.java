package io.oleandermoor.daemon.network;

import io.oleandermoor.coordination.dissemination.DisseminationCounters;
import io.oleandermoor.coordination.dissemination.DisseminationStep;
import io.oleandermoor.coordination.dissemination.Disseminator;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.coordination.dissemination.ItemMessage;
import io.oleandermoor.coordination.dissemination.OutgoingMessage;
import io.oleandermoor.protocol.mapping.ItemMessages;
import io.oleandermoor.protocol.message.Items;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.transport.peer.PeerConnection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Spreads items as the {@link Disseminator} decides: news go to a few random peers at once, and regular exchanges
 * repair gaps. Safe for use by several threads; its lock has place 2 in the lock order, and messages are sent and
 * listeners are called outside it.
 */
public final class DisseminatingItemExchange implements ItemExchange {

    /** Time between two calls of {@link #exchange}, in milliseconds. */
    public static final long EXCHANGE_MILLIS = 1_000;

    /** Items that are pushed even when pushes exceed their share of the traffic: a revoked key must not wait. */
    private static final Predicate<Item> URGENT = item -> item.name().startsWith("configuration/")
            || item.name().startsWith("owner/")
            || item.name().startsWith(RevocationItems.ITEM_PREFIX);

    private final Object lock = new Object();

    private final Disseminator disseminator;

    private final Map<String, Item> own = new HashMap<>();

    private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();

    private final Supplier<Collection<PeerConnection>> connections;

    private final Supplier<Collection<InstanceId>> readers;

    private final LongSupplier nowMillis;

    /**
     * Creates an exchange without items.
     *
     * @param random chooses peers
     * @param freshness the freshness of the configuration in this process
     * @param connections supplies the open connections
     * @param readers supplies the processes that read the key-value service; empty at an agent
     * @param nowMillis the monotonic clock in milliseconds
     */
    public DisseminatingItemExchange(
            UniformRandomProvider random,
            Freshness freshness,
            Supplier<Collection<PeerConnection>> connections,
            Supplier<Collection<InstanceId>> readers,
            LongSupplier nowMillis) {
        this.disseminator = new Disseminator(random, freshness, URGENT);
        this.connections = connections;
        this.readers = readers;
        this.nowMillis = nowMillis;
    }

    @Override
    public void publish(String name, long version, byte[] content) {
        DisseminationStep step;
        Item item = new Item(name, version, content);
        synchronized (lock) {
            own.put(name, item);
            updatePeers();
            step = disseminator.publish(List.of(item), nowMillis.getAsLong());
        }
        carryOut(step);
    }

    /**
     * Makes an item known to all processes, and sends it to some of them directly instead of through others.
     *
     * @param direct selects the connections on which the item is sent at once
     * @param name the name
     * @param version the version
     * @param content the content
     * @return the number of connections on which it was sent at once
     */
    public int publishTo(Predicate<PeerConnection> direct, String name, long version, byte[] content) {
        publish(name, version, content);
        ItemMessage message = ItemMessage.builder()
                .news(true)
                .items(List.of(new Item(name, version, content)))
                .build();
        int sent = 0;
        for (PeerConnection connection : connections.get()) {
            if (direct.test(connection) && connection.send(ItemMessages.toMessage(message))) {
                sent++;
            }
        }
        return sent;
    }

    @Override
    public void publishToAll(String name, long version, byte[] content) {
        publish(name, version, content);
        Item item = new Item(name, version, content);
        connections.get().forEach(connection -> sendNews(connection, List.of(item)));
    }

    /**
     * Sends known items to a process before other messages that depend on them.
     *
     * @param connection the connection
     * @param condition which items
     */
    public void sendKnown(PeerConnection connection, Predicate<Item> condition) {
        List<Item> known;
        synchronized (lock) {
            known = disseminator.items().stream().filter(condition).toList();
        }
        if (!known.isEmpty()) {
            sendNews(connection, known);
        }
    }

    @Override
    public void listen(String prefix, ItemListener listener) {
        subscriptions.add(new Subscription(prefix, listener));
    }

    /** Compares items with one random peer; to be called regularly. */
    public void exchange() {
        DisseminationStep step;
        synchronized (lock) {
            updatePeers();
            step = disseminator.exchange(nowMillis.getAsLong());
        }
        carryOut(step);
    }

    /**
     * Asks processes how long ago their configuration was confirmed.
     *
     * @param asked the processes
     */
    public void ask(Collection<InstanceId> asked) {
        DisseminationStep step;
        synchronized (lock) {
            step = disseminator.ask(asked, nowMillis.getAsLong());
        }
        carryOut(step);
    }

    /**
     * Counts the processes whose last answer to {@link #ask} was that they do not reach the key-value service.
     *
     * @param peers the processes that are connected now
     * @return a count
     */
    public int unconfirmed(Collection<InstanceId> peers) {
        synchronized (lock) {
            return disseminator.confirmations().unconfirmed(peers, nowMillis.getAsLong());
        }
    }

    /**
     * Sends the items of this process to a process that has just connected, so that it need not wait for an exchange.
     *
     * @param connection the new connection
     */
    public void opened(PeerConnection connection) {
        List<Item> items;
        synchronized (lock) {
            items = new ArrayList<>(own.values());
        }
        sendNews(connection, items);
    }

    /**
     * Takes a message of another process.
     *
     * @param connection the connection on which it came
     * @param items the message
     */
    public void received(PeerConnection connection, Items items) {
        DisseminationStep step;
        synchronized (lock) {
            updatePeers();
            step = disseminator.receive(
                    new InstanceId(connection.remote().instance()),
                    ItemMessages.fromMessage(items),
                    nowMillis.getAsLong());
        }
        carryOut(step);
    }

    /**
     * Asks a peer for an item that is provided on request.
     *
     * @param name the name
     */
    public void request(String name) {
        DisseminationStep step;
        synchronized (lock) {
            updatePeers();
            step = disseminator.request(name);
        }
        carryOut(step);
    }

    /**
     * Provides an item on request only.
     *
     * @param name the name
     * @param provider supplies the item, or empty if there is none
     */
    public void provide(String name, Supplier<Optional<Item>> provider) {
        synchronized (lock) {
            disseminator.provide(name, provider);
        }
    }

    /**
     * Forgets items.
     *
     * @param condition which ones
     */
    public void remove(Predicate<Item> condition) {
        synchronized (lock) {
            own.values().removeIf(condition);
            disseminator.remove(condition, nowMillis.getAsLong());
        }
    }

    /**
     * Returns what was sent and received so far.
     *
     * @return the counters
     */
    public DisseminationCounters counters() {
        synchronized (lock) {
            return disseminator.counters();
        }
    }

    private static void sendNews(PeerConnection connection, List<Item> items) {
        connection.send(ItemMessages.toMessage(
                ItemMessage.builder().news(true).items(items).build()));
    }

    private void updatePeers() {
        List<InstanceId> peers = connections.get().stream()
                .map(connection -> new InstanceId(connection.remote().instance()))
                .toList();
        disseminator.setPeers(
                peers, readers.get().stream().filter(peers::contains).toList());
    }

    private void carryOut(DisseminationStep step) {
        for (OutgoingMessage message : step.messages()) {
            for (PeerConnection connection : connections.get()) {
                if (connection.remote().instance().equals(message.receiver().value())) {
                    connection.send(ItemMessages.toMessage(message.message()));
                }
            }
        }
        for (Item item : step.accepted()) {
            for (Subscription subscription : subscriptions) {
                if (item.name().startsWith(subscription.prefix)) {
                    subscription.listener.received(item.name(), item.version(), item.content());
                }
            }
        }
    }

    private record Subscription(String prefix, ItemListener listener) {}
}
