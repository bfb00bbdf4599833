package io.oleandermoor.coordination.dissemination;

import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Spreads versioned items among all processes; the newest version of each name wins.
 *
 * <p>News are pushed to three random peers at once, by each process that first hears of them. An exchange with one
 * random peer each second repairs gaps: the peers compare one hash over all items, and only where it differs the hashes
 * of buckets and then versions. An answer to an exchange carries the freshness of the configuration.
 *
 * <p>Not thread-safe: the caller serializes the calls. It sends the messages of each step and uses the accepted items.
 */
public final class Disseminator {

    /** Peers to which news are pushed. With three, a push reaches about 94% of the processes. */
    static final int PUSHES = 3;

    private static final long ANSWER_MILLIS = 2_000;
    /** A process with at most this many items lists them instead of dividing buckets. */
    private static final int LISTED_ITEMS = 8;
    /** Bounds one message; what is left out is repaired by the next exchange. */
    private static final int MAXIMUM_ITEM_BYTES = 512 * 1024;
    /**
     * One exchange in so many goes to a process that reads the key-value service. The turn is fixed: with a random
     * choice, the oldest freshness of an entry was 9.6 s at one in four and 8.3 s at one in two, too close to the limit
     * of 10 s.
     */
    private static final int EXCHANGES_PER_READER = 2;

    private final UniformRandomProvider random;
    private final Freshness freshness;
    private final Predicate<Item> urgent;
    private final ItemTable table = new ItemTable();
    private final PushBudget budget = new PushBudget();
    private final Map<String, Supplier<Optional<Item>>> providers = new HashMap<>();
    private final LinkedHashMap<Long, Exchange> exchanges = new LinkedHashMap<>();
    private List<InstanceId> peers = List.of();
    private List<InstanceId> readers = List.of();
    private final PeerConfirmations confirmations = new PeerConfirmations();
    private long lastExchange;
    private long turns;
    private DisseminationCounters counters = new DisseminationCounters(0, 0, 0, 0);

    /**
     * Creates a disseminator without peers and items.
     *
     * @param random chooses peers
     * @param freshness the freshness of the configuration in this process
     * @param urgent items that are pushed even when pushes exceed their share of the traffic
     */
    public Disseminator(UniformRandomProvider random, Freshness freshness, Predicate<Item> urgent) {
        this.random = random;
        this.freshness = freshness;
        this.urgent = urgent;
    }

    /**
     * Sets the processes to which messages are sent.
     *
     * @param allPeers all other processes
     * @param serviceReaders the processes among them that read the key-value service for this region; empty at an
     *     agent, because the readers could not answer all agents and agents need no freshness
     */
    public void setPeers(Collection<InstanceId> allPeers, Collection<InstanceId> serviceReaders) {
        peers = List.copyOf(allPeers);
        readers = List.copyOf(serviceReaders);
    }

    /**
     * Registers content that is too large to be kept at each process. It is sent only to processes that request it.
     *
     * @param name the name, which must not be that of an item
     * @param provider gives the present content, or empty if this process has none
     */
    public void provide(String name, Supplier<Optional<Item>> provider) {
        providers.put(name, provider);
    }

    /**
     * Publishes items of this process.
     *
     * @param items the items
     * @param nowMillis the present
     * @return the pushes; items that are not newer than what is known are left out
     */
    public DisseminationStep publish(List<Item> items, long nowMillis) {
        List<Item> accepted = items.stream().filter(table::accept).toList();
        return new DisseminationStep(accepted, push(accepted, Optional.empty(), nowMillis), List.of());
    }

    /**
     * Requests provided content from a random peer.
     *
     * @param name the name of the content
     * @return the request; the content comes as an accepted item
     */
    public DisseminationStep request(String name) {
        List<OutgoingMessage> messages = new ArrayList<>();
        if (!peers.isEmpty()) {
            ItemMessage message = ItemMessage.builder().wanted(List.of(name)).build();
            messages.add(send(peers.get(random.nextInt(peers.size())), message));
        }
        return new DisseminationStep(List.of(), messages, List.of());
    }

    /**
     * Starts the exchange with a random peer. To be called each second.
     *
     * @param nowMillis the present
     * @return the message, and the peers that did not answer earlier exchanges
     */
    public DisseminationStep exchange(long nowMillis) {
        Set<InstanceId> unanswered = new HashSet<>();
        exchanges.values().removeIf(exchange -> {
            boolean late = nowMillis - exchange.sentMillis >= ANSWER_MILLIS;
            if (late) {
                unanswered.add(exchange.peer);
            }
            return late;
        });
        List<OutgoingMessage> messages = new ArrayList<>();
        if (!peers.isEmpty()) {
            boolean fresh = !readers.isEmpty() && turns++ % EXCHANGES_PER_READER == 0;
            List<InstanceId> choice = fresh ? readers : peers;
            InstanceId peer = choice.get(random.nextInt(choice.size()));
            exchanges.put(++lastExchange, new Exchange(peer, nowMillis));
            BucketDigest all = new BucketDigest(DigestTree.ROOT, table.digests().hash(DigestTree.ROOT));
            messages.add(send(
                    peer,
                    ItemMessage.builder()
                            .exchange(lastExchange)
                            .digests(List.of(all))
                            .build()));
        }
        return new DisseminationStep(List.of(), messages, List.copyOf(unanswered));
    }

    /**
     * Asks peers how long ago their configuration was confirmed. A newer confirmation than that of this process is
     * taken over.
     *
     * @param asked the peers
     * @param nowMillis the present
     * @return the questions; the answers are in {@link #confirmations}
     */
    public DisseminationStep ask(Collection<InstanceId> asked, long nowMillis) {
        confirmations.ask(asked);
        List<OutgoingMessage> messages = new ArrayList<>();
        for (InstanceId peer : asked) {
            exchanges.put(++lastExchange, new Exchange(peer, nowMillis));
            messages.add(send(peer, ItemMessage.builder().exchange(lastExchange).build()));
        }
        return new DisseminationStep(List.of(), messages, List.of());
    }

    /**
     * Returns the answers to {@link #ask}.
     *
     * @return the answers so far
     */
    public PeerConfirmations confirmations() {
        return confirmations;
    }

    /**
     * Handles a message of a peer.
     *
     * @param sender the peer
     * @param message the message
     * @param nowMillis the present
     * @return the items that are new here, the answer and the pushes of news
     */
    public DisseminationStep receive(InstanceId sender, ItemMessage message, long nowMillis) {
        counters = counters.received(message.encodedBytes());
        Exchange answered = exchanges.get(message.answers());
        if (answered != null && answered.peer.equals(sender)) {
            exchanges.remove(message.answers());
            confirmations.answered(sender, message.confirmed(), answered.sentMillis);
            message.confirmed().ifPresent(confirmed -> freshness.confirm(confirmed, answered.sentMillis));
        }
        List<Item> accepted = new ArrayList<>();
        List<Item> news = new ArrayList<>();
        for (Item item : message.items()) {
            if (providers.containsKey(item.name())) {
                accepted.add(item);
            } else if (table.accept(item)) {
                accepted.add(item);
                news.add(item);
            }
        }
        List<OutgoingMessage> messages = new ArrayList<>();
        ItemMessage answer = answer(message, nowMillis);
        if (!answer.isEmpty()) {
            messages.add(send(sender, answer));
        }
        if (message.news()) {
            messages.addAll(push(news, Optional.of(sender), nowMillis));
        }
        return new DisseminationStep(accepted, messages, List.of());
    }

    /**
     * Removes items, such as those whose origin is gone. They do not come back from peers with the same version.
     *
     * @param condition chooses the items
     * @param nowMillis the present
     */
    public void remove(Predicate<Item> condition, long nowMillis) {
        table.remove(condition, nowMillis);
    }

    /**
     * Returns an item.
     *
     * @param name its name
     * @return the newest known version, or empty if there is none
     */
    public Optional<Item> item(String name) {
        return table.item(name);
    }

    /**
     * Returns all items.
     *
     * @return a copy, in no particular order
     */
    public List<Item> items() {
        return table.items();
    }

    /**
     * Returns the traffic since the start.
     *
     * @return the counters
     */
    public DisseminationCounters counters() {
        return counters;
    }

    private ItemMessage answer(ItemMessage message, long nowMillis) {
        ItemMessage.Builder answer = ItemMessage.builder();
        if (message.exchange() != 0) {
            answer.answers(message.exchange(), freshness.confirmed(nowMillis));
        }
        for (BucketDigest digest : message.digests()) {
            if (DigestTree.isBucket(digest.bucket()) && table.digests().hash(digest.bucket()) != digest.hash()) {
                divide(digest.bucket(), answer);
            }
        }
        Map<String, Item> toSend = new LinkedHashMap<>();
        List<String> wanted = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (ItemVersion version : message.versions()) {
            named.add(version.name());
            long known = table.knownVersion(version.name());
            if (known < version.version()) {
                wanted.add(version.name());
            } else if (known > version.version()) {
                table.item(version.name()).ifPresent(item -> toSend.put(item.name(), item));
            }
        }
        for (int bucket : message.listed()) {
            table.itemsIn(bucket).stream()
                    .filter(item -> !named.contains(item.name()))
                    .forEach(item -> toSend.put(item.name(), item));
        }
        for (String name : message.wanted()) {
            provided(name).or(() -> table.item(name)).ifPresent(item -> toSend.put(name, item));
        }
        return answer.wanted(wanted).items(bounded(toSend.values())).build();
    }

    private Optional<Item> provided(String name) {
        return Optional.ofNullable(providers.get(name)).flatMap(Supplier::get);
    }

    private void divide(int bucket, ItemMessage.Builder answer) {
        if (DigestTree.isLeaf(bucket) || table.size() <= LISTED_ITEMS) {
            answer.list(
                    bucket,
                    table.itemsIn(bucket).stream().map(Item::itemVersion).toList());
        } else {
            answer.digests(table.digests().parts(bucket));
        }
    }

    private List<Item> bounded(Collection<Item> items) {
        List<Item> chosen = new ArrayList<>();
        long bytes = 0;
        for (Item item : items) {
            bytes += item.content().length;
            if (bytes > MAXIMUM_ITEM_BYTES && !chosen.isEmpty()) {
                break;
            }
            chosen.add(item);
        }
        return chosen;
    }

    private List<OutgoingMessage> push(List<Item> news, Optional<InstanceId> except, long nowMillis) {
        List<Item> pushed = new ArrayList<>();
        for (Item item : news) {
            int bytes = PUSHES * (item.content().length + item.name().length());
            if (urgent.test(item)) {
                budget.force(bytes, nowMillis);
                pushed.add(item);
            } else if (budget.take(bytes, nowMillis)) {
                pushed.add(item);
            }
        }
        List<OutgoingMessage> messages = new ArrayList<>();
        if (!pushed.isEmpty()) {
            ItemMessage message = ItemMessage.builder().news(true).items(pushed).build();
            choosePeers(except).forEach(peer -> messages.add(send(peer, message)));
        }
        return messages;
    }

    private Set<InstanceId> choosePeers(Optional<InstanceId> except) {
        Set<InstanceId> chosen = new HashSet<>();
        int wanted =
                Math.min(PUSHES, peers.size() - (except.filter(peers::contains).isPresent() ? 1 : 0));
        while (chosen.size() < wanted) {
            InstanceId peer = peers.get(random.nextInt(peers.size()));
            if (except.filter(peer::equals).isEmpty()) {
                chosen.add(peer);
            }
        }
        return chosen;
    }

    private OutgoingMessage send(InstanceId peer, ItemMessage message) {
        counters = counters.sent(message.encodedBytes());
        return new OutgoingMessage(peer, message);
    }

    private record Exchange(InstanceId peer, long sentMillis) {}
}
