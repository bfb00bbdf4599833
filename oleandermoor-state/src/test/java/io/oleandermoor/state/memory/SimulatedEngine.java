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

/** Simulates an engine, its network, its record in the key-value service and its agents in virtual time. */
final class SimulatedEngine {
    static final long CAPACITY_MEGABYTES = 100;
    static final long MAXIMUM_DELAY_MILLIS = 1_000;
    private static final long SEND_TIMEOUT_MILLIS = 400;
    private static final int[] MODEL_SIZES_MEGABYTES = {60, 45, 40, 30, 25, 10};

    final Map<Weights, Long> resident = new TreeMap<>(Weights.ORDER);
    long maximumUsedMegabytes;
    int executedLoads;
    int executedOldTermOrders;

    private record Event(long timeMillis, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeMillis).thenComparingLong(Event::number));
    private final SplittableRandom random;
    private final MemorySettings settings;
    private final List<Agent> agents = new ArrayList<>();
    private OrderRecord storedRecord = OrderRecord.empty();
    private long revision;
    private long nowMillis;
    private long eventNumber;
    private long highestTerm;

    SimulatedEngine(long seed, Fencing fencing) {
        random = new SplittableRandom(seed);
        settings = new MemorySettings(
                new UpstreamId("u"), CAPACITY_MEGABYTES, fencing, MAXIMUM_DELAY_MILLIS, SEND_TIMEOUT_MILLIS);
        replaceAgent();
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            advance(random.nextLong(SEND_TIMEOUT_MILLIS));
            if (random.nextInt(25) == 0) {
                replaceAgent();
            }
            Agent agent = agents.get(random.nextInt(4) == 0 ? random.nextInt(agents.size()) : agents.size() - 1);
            agent.performRandomAction();
        }
    }

    private void advance(long durationMillis) {
        long endMillis = nowMillis + durationMillis;
        while (!events.isEmpty() && events.peek().timeMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.timeMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    private void schedule(long timeMillis, Runnable action) {
        events.add(new Event(Math.max(timeMillis, nowMillis), eventNumber++, action));
    }

    private void replaceAgent() {
        agents.add(new Agent());
        if (random.nextBoolean()) {
            agents.get(agents.size() - 1).requestListing();
        }
    }

    /** Delivers a message zero, one or two times between now and the given time. */
    private void transmit(long latestMillis, Runnable delivery) {
        int copies = random.nextInt(5) == 0 ? 0 : 1 + random.nextInt(2);
        for (int copy = 0; copy < copies; copy++) {
            // Immediate and latest possible deliveries are frequent, because these overtake other messages.
            long delayMillis = random.nextInt(3) == 0
                    ? random.nextLong(latestMillis - nowMillis + 1)
                    : (latestMillis - nowMillis) * random.nextInt(2);
            schedule(nowMillis + delayMillis, delivery);
        }
    }

    private boolean rejectsTerm(long term) {
        if (settings.fencing() == Fencing.HONOURED && term < highestTerm) {
            return true;
        }
        highestTerm = Math.max(highestTerm, term);
        return false;
    }

    private void execute(Order order, Agent sender) {
        long newestTerm = agents.get(agents.size() - 1).account.record().term();
        OrderResult result = rejectsTerm(order.term()) ? OrderResult.REJECTED : OrderResult.DONE;
        if (result == OrderResult.DONE) {
            executedOldTermOrders += order.term() < newestTerm ? 1 : 0;
            if (order.kind() == Order.Kind.LOAD) {
                executedLoads++;
                resident.put(order.weights(), order.memoryMegabytes());
            } else {
                resident.remove(order.weights());
            }
            maximumUsedMegabytes = Math.max(
                    maximumUsedMegabytes,
                    resident.values().stream().mapToLong(Long::longValue).sum());
        }
        transmit(nowMillis + 3 * MAXIMUM_DELAY_MILLIS, () -> sender.account.applyResult(order, result));
    }

    /** An agent process. Stays in the list after it was replaced, like a paused process that resumes later. */
    private final class Agent {
        private final MemoryAccount account;
        private final List<Order> unsentOrders = new ArrayList<>();
        private long knownRevision;
        private boolean lostOwnership;

        Agent() {
            account = MemoryAccount.takeOver(settings, storedRecord, storedRecord.term() + 1, nowMillis);
            storedRecord = account.record();
            knownRevision = ++revision;
        }

        void performRandomAction() {
            int action = random.nextInt(10);
            int index = random.nextInt(MODEL_SIZES_MEGABYTES.length);
            Weights weights = new ModelVersion(new ModelName("m" + index), "1");
            if (action < 2) {
                requestListing();
            } else if (action < 4) {
                sendUnsent();
            } else if (!lostOwnership) {
                handleDecision(
                        action < 8
                                ? account.load(weights, MODEL_SIZES_MEGABYTES[index], nowMillis)
                                : account.unload(weights, nowMillis));
            }
        }

        private void handleDecision(MemoryDecision decision) {
            if (decision instanceof Send send) {
                if (!writeRecord(send.record())) {
                    account.recordSendEnd(send.order(), nowMillis);
                    return;
                }
                unsentOrders.add(send.order());
                if (random.nextInt(3) > 0) {
                    sendUnsent();
                }
            }
        }

        private boolean writeRecord(OrderRecord record) {
            if (knownRevision != revision) {
                lostOwnership = true;
                return false;
            }
            storedRecord = record;
            knownRevision = ++revision;
            // The response of the key-value service may be lost: the order is then recorded but never sent.
            return random.nextInt(10) > 0;
        }

        private void sendUnsent() {
            // The agent may have been paused between its last check and the send. If the engine ignores fencing
            // numbers,
            // this is excluded for a replaced agent, because nothing could stop the order in that case.
            boolean replaced = knownRevision != revision;
            boolean pausedAfterCheck = replaced ? settings.fencing() == Fencing.HONOURED : random.nextBoolean();
            for (Order order : unsentOrders) {
                if (pausedAfterCheck) {
                    transmit(nowMillis + MAXIMUM_DELAY_MILLIS, () -> execute(order, this));
                } else if (account.isSendAllowed(order, nowMillis)) {
                    transmit(nowMillis + MAXIMUM_DELAY_MILLIS - SEND_TIMEOUT_MILLIS, () -> execute(order, this));
                }
                account.recordSendEnd(order, nowMillis);
            }
            unsentOrders.clear();
        }

        private void requestListing() {
            long requestedMillis = nowMillis;
            long term = account.record().term();
            transmit(nowMillis + MAXIMUM_DELAY_MILLIS, () -> {
                if (!rejectsTerm(term)) {
                    List<EngineListing.Entry> present = new ArrayList<>();
                    resident.forEach((weights, memory) ->
                            present.add(new EngineListing.Entry(weights, memory, Residency.READY)));
                    EngineListing listing = new EngineListing(present);
                    transmit(nowMillis + MAXIMUM_DELAY_MILLIS, () -> account.applyListing(listing, requestedMillis));
                }
            });
        }
    }
}
