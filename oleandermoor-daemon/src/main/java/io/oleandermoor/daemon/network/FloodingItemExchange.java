package io.oleandermoor.daemon.network;

import com.google.protobuf.ByteString;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Item;
import io.oleandermoor.protocol.message.Items;
import io.oleandermoor.transport.peer.PeerConnection;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/** Sends each newer item to all connected processes. Suits a few dozen processes. */
public final class FloodingItemExchange implements ItemExchange {

    private final Map<String, Item> items = new ConcurrentHashMap<>();

    private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();

    private final Supplier<Collection<PeerConnection>> connections;

    /**
     * Creates an exchange without items.
     *
     * @param connections supplies the open connections
     */
    public FloodingItemExchange(Supplier<Collection<PeerConnection>> connections) {
        this.connections = connections;
    }

    @Override
    public void publish(String name, long version, byte[] content) {
        accept(Item.newBuilder()
                .setName(name)
                .setVersion(version)
                .setContent(ByteString.copyFrom(content))
                .build());
    }

    @Override
    public void listen(String prefix, ItemListener listener) {
        subscriptions.add(new Subscription(prefix, listener));
    }

    /**
     * Sends all known items to a process that has just connected.
     *
     * @param connection the new connection
     */
    public void opened(PeerConnection connection) {
        connection.send(envelope(items.values()));
    }

    /**
     * Takes items from another process.
     *
     * @param received the items
     */
    public void received(Items received) {
        received.getItemsList().forEach(this::accept);
    }

    private void accept(Item item) {
        Item kept = items.merge(
                item.getName(), item, (known, next) -> next.getVersion() > known.getVersion() ? next : known);
        if (kept != item) {
            return;
        }
        Envelope envelope = envelope(List.of(item));
        connections.get().forEach(connection -> connection.send(envelope));
        for (Subscription subscription : subscriptions) {
            if (item.getName().startsWith(subscription.prefix)) {
                subscription.listener.received(
                        item.getName(), item.getVersion(), item.getContent().toByteArray());
            }
        }
    }

    private static Envelope envelope(Collection<Item> list) {
        return Envelope.newBuilder()
                .setItems(Items.newBuilder().addAllItems(list))
                .build();
    }

    private record Subscription(String prefix, ItemListener listener) {}
}
