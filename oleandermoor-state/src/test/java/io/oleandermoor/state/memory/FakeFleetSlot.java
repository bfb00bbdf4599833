package io.oleandermoor.state.memory;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.MemoryDecision.Send;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** One engine, its network, its record in the key-value service and its agents, under virtual time. */
final class FakeFleetSlot {
    static final long CAPACITY = 100;
    static final long LONGEST_DELAY = 1_000;
    private static final long SEND_WITHIN = 400;
    private static final int[] SIZES = {60, 45, 40, 30, 25, 10};

    final Map<Weights, Long> resident = new TreeMap<>(Weights.ORDER);
    long largestUse;
    int executedLoads;
    int executedOldTermOrders;

    private record Event(long time, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private final SplittableRandom random;
    private final MemorySettings settings;
    private final List<Agent> agents = new ArrayList<>();
    private OrderRecord stored = OrderRecord.empty();
    private long revision;
    private long now;
    private long eventNumber;
    private long highestTerm;

    FakeFleetSlot(long seed, Fencing fencing) {
        random = new SplittableRandom(seed);
        settings = new MemorySettings(new UpstreamId("u"), CAPACITY, fencing, LONGEST_DELAY, SEND_WITHIN);
        replaceAgent();
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            advance(random.nextLong(SEND_WITHIN));
            if (random.nextInt(25) == 0) {
                replaceAgent();
            }
            Agent agent = agents.get(random.nextInt(4) == 0 ? random.nextInt(agents.size()) : agents.size() - 1);
            agent.act();
        }
    }

    private void advance(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
        now = end;
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), eventNumber++, action));
    }

    private void replaceAgent() {
        agents.add(new Agent());
        if (random.nextBoolean()) {
            agents.get(agents.size() - 1).requestListing();
        }
    }

    /** Delivers a message no, one or two times between now and the given time. */
    private void transmit(long latest, Runnable delivery) {
        int copies = random.nextInt(5) == 0 ? 0 : 1 + random.nextInt(2);
        for (int copy = 0; copy < copies; copy++) {
            // Immediate and latest possible deliveries are frequent, because they are the ones that cross others.
            long share =
                    random.nextInt(3) == 0 ? random.nextLong(latest - now + 1) : (latest - now) * random.nextInt(2);
            schedule(now + share, delivery);
        }
    }

    private boolean fences(long term) {
        if (settings.fencing() == Fencing.HONOURED && term < highestTerm) {
            return true;
        }
        highestTerm = Math.max(highestTerm, term);
        return false;
    }

    private void execute(Order order, Agent sender) {
        long newest = agents.get(agents.size() - 1).account.record().term();
        OrderResult result = fences(order.term()) ? OrderResult.REJECTED : OrderResult.DONE;
        if (result == OrderResult.DONE) {
            executedOldTermOrders += order.term() < newest ? 1 : 0;
            if (order.kind() == Order.Kind.LOAD) {
                executedLoads++;
                resident.put(order.weights(), order.memoryMegabytes());
            } else {
                resident.remove(order.weights());
            }
            largestUse = Math.max(
                    largestUse,
                    resident.values().stream().mapToLong(Long::longValue).sum());
        }
        transmit(now + 3 * LONGEST_DELAY, () -> sender.account.confirmed(order, result));
    }

    /** An agent process. Stays in the list after its replacement, as a paused process that resumes later. */
    private final class Agent {
        private final MemoryAccount account;
        private final List<Order> unsent = new ArrayList<>();
        private long knownRevision;
        private boolean lostOwnership;

        Agent() {
            account = MemoryAccount.takeOver(settings, stored, stored.term() + 1, now);
            stored = account.record();
            knownRevision = ++revision;
        }

        void act() {
            int choice = random.nextInt(10);
            int index = random.nextInt(SIZES.length);
            Weights weights = new ModelVersion(new ModelName("m" + index), "1");
            if (choice < 2) {
                requestListing();
            } else if (choice < 4) {
                sendUnsent();
            } else if (!lostOwnership) {
                decide(choice < 8 ? account.load(weights, SIZES[index], now) : account.unload(weights, now));
            }
        }

        private void decide(MemoryDecision decision) {
            if (decision instanceof Send send) {
                if (!write(send.record())) {
                    account.sendingEnded(send.order(), now);
                    return;
                }
                unsent.add(send.order());
                if (random.nextInt(3) > 0) {
                    sendUnsent();
                }
            }
        }

        private boolean write(OrderRecord record) {
            if (knownRevision != revision) {
                lostOwnership = true;
                return false;
            }
            stored = record;
            knownRevision = ++revision;
            // The response of the key-value service may be lost: the order is then recorded but never sent.
            return random.nextInt(10) > 0;
        }

        private void sendUnsent() {
            // The agent may have been paused between its last check and the sending. At an engine that ignores fencing
            // numbers this is excluded for a replaced agent: nothing could then stop the order.
            boolean replaced = knownRevision != revision;
            boolean pausedAfterCheck = replaced ? settings.fencing() == Fencing.HONOURED : random.nextBoolean();
            for (Order order : unsent) {
                if (pausedAfterCheck) {
                    transmit(now + LONGEST_DELAY, () -> execute(order, this));
                } else if (account.maySend(order, now)) {
                    transmit(now + LONGEST_DELAY - SEND_WITHIN, () -> execute(order, this));
                }
                account.sendingEnded(order, now);
            }
            unsent.clear();
        }

        private void requestListing() {
            long requested = now;
            long term = account.record().term();
            transmit(now + LONGEST_DELAY, () -> {
                if (!fences(term)) {
                    List<EngineListing.Entry> present = new ArrayList<>();
                    resident.forEach((weights, memory) ->
                            present.add(new EngineListing.Entry(weights, memory, Residency.READY)));
                    EngineListing listing = new EngineListing(present);
                    transmit(now + LONGEST_DELAY, () -> account.listed(listing, requested));
                }
            });
        }
    }
}
