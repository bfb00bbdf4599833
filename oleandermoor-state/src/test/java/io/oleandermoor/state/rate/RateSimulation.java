package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Deterministic simulation in virtual time of one owner at a time, pools of previous owners, and several entries, with
 * injected faults.
 */
final class RateSimulation {

    /**
     * Faults of one run: percentages of lost, repeated and late messages, and mean times between events in milliseconds
     * (0 for never).
     */
    record Faults(int lost, int repeated, int late, long ownerChange, long ownerPause, long entryPause, long restart) {
        static final Faults NONE = new Faults(0, 0, 0, 0, 0, 0, 0);
    }

    record Spend(long millis, long used) {}

    private record Delivery(long millis, Runnable action) {}

    static final TeamName TEAM = new TeamName("press");
    private static final long CALLER_TIMEOUT_MILLIS = 800;
    private static final long STEP_MILLIS = 5;
    private static final int MAXIMUM_REMEMBERED_OWNERS = 3;
    /** Mean time after which an entry discovers the current owner. */
    private static final long MEAN_OWNER_DISCOVERY_MILLIS = 1_000;

    private final RateSettings settings;
    private final Faults faults;
    final UniformRandomProvider random;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>((a, b) -> Long.compare(a.millis(), b.millis()));
    private final List<Entry> entries = new ArrayList<>();
    private final Map<RateClientId, Long> registrations = new HashMap<>();
    private final Map<Long, long[]> spendsByGrant = new HashMap<>();
    Map<TeamName, RateLimit> limits;
    long millis;
    long refused;
    long granted;
    long grantedByPools;
    private long grantId;
    private long incarnation;
    private Owner owner;
    private long leaseEndMillis;
    private long term;
    boolean storeDown;
    /** Whether a replaced owner stops answering requests. */
    boolean replacedOwnersStop;
    /** Entries with an index below this cannot reach the owner. */
    int entriesWithoutOwner;
    /** Mean time after which an entry switches to a random current or previous owner or pool, or 0 for never. */
    long meanStaleTargetMillis;

    private final List<Owner> owners = new ArrayList<>();

    RateSimulation(RateSettings settings, RateLimit limit, Faults faults, int entryCount, long seed) {
        this.settings = settings;
        this.faults = faults;
        this.limits = Map.of(TEAM, limit);
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Entry(index));
        }
    }

    /** Creates a clock with a random offset and a rate that is 1% fast or slow. */
    private LongUnaryOperator clock() {
        long offset = random.nextLong(1_000_000);
        long perMille = 990 + 20 * random.nextLong(2);
        return time -> offset + time * perMille / 1_000;
    }

    private boolean chance(long meanMillis) {
        return meanMillis > 0 && random.nextLong(meanMillis) < STEP_MILLIS;
    }

    private final class Owner {
        final LongUnaryOperator clock = clock();
        final RateOwner rateOwner;
        long pausedUntil;
        long renewedMillis = millis;

        Owner() {
            leaseEndMillis = millis + settings.leaseMillis();
            rateOwner = new RateOwner(settings, ++term, now() + settings.leaseMillis() - settings.marginMillis());
            readStore();
        }

        long now() {
            return clock.applyAsLong(millis);
        }

        void readStore() {
            Set<RateClientId> known = Set.copyOf(registrations.keySet());
            rateOwner.updateRegistrations(known, now(), now());
            rateOwner.configure(limits, now());
        }

        void step() {
            if (millis < pausedUntil) {
                return;
            }
            if (rateOwner.isPool() && random.nextInt(1_000) == 0) {
                // A pool applies changed limits like an owner.
                rateOwner.configure(limits, now());
            }
            if (chance(faults.ownerPause())) {
                pausedUntil = millis + random.nextLong(2 * settings.leaseMillis());
            }
            if (!storeDown && millis - renewedMillis >= settings.leaseMillis() / 3) {
                renewedMillis = millis;
                if (millis < leaseEndMillis && owner == this) {
                    leaseEndMillis = millis + settings.leaseMillis();
                    rateOwner.leaseRenewed(now() + settings.leaseMillis() - settings.marginMillis());
                    readStore();
                }
            }
        }

        void receive(RateRequest request, Entry from) {
            if (millis < pausedUntil) {
                deliveries.add(new Delivery(pausedUntil, () -> receive(request, from)));
                return;
            }
            Optional<RateResponse> response = rateOwner.handle(request, now());
            response.ifPresent(value -> send(() -> from.receive(value)));
        }
    }

    final class Entry {
        final int index;
        RateClient rateClient;
        private LongUnaryOperator clock;
        private long pausedUntil;
        private final List<long[]> waiting = new ArrayList<>();
        private RateClientId id;
        private Owner target;
        private long startedMillis;

        Entry(int index) {
            this.index = index;
            restart();
        }

        void restart() {
            waiting.clear();
            clock = clock();
            startedMillis = now();
            id = new RateClientId(new InstanceId("entry-" + index), ++incarnation);
            rateClient = new RateClient(settings, id, now());
            rateClient.configure(limits, now());
        }

        /** Replaces the registration of the previous process on this instance. */
        private void register() {
            boolean due = now() - startedMillis >= settings.registrationDelayMillis();
            if (due && !storeDown && !registrations.containsKey(id)) {
                registrations.keySet().removeIf(known -> known.instance().equals(id.instance()));
                registrations.put(id, millis);
                rateClient.registered(now());
            }
        }

        long now() {
            return clock.applyAsLong(millis);
        }

        /** Offers a request that reserves tokens and later settles with the number of tokens used. */
        void offer(long reserved, long used, long durationMillis) {
            waiting.add(new long[] {reserved, used, durationMillis, millis + CALLER_TIMEOUT_MILLIS});
            retryWaiting();
        }

        private void retryWaiting() {
            waiting.removeIf(request -> isDecided(request));
            sendNext();
        }

        private boolean isDecided(long[] request) {
            RateClient client = rateClient;
            RateDecision decision = client.reserve(TEAM, request[0], now());
            if (decision instanceof RateDecision.Granted grant) {
                long key = grantId++;
                granted++;
                grantedByPools += target != null
                                && target.rateOwner.isPool()
                                && grant.reservation().term() > 0
                        ? 1
                        : 0;
                spendsByGrant.put(key, new long[] {millis, request[0]});
                deliveries.add(new Delivery(millis + request[2], () -> {
                    if (client == rateClient) {
                        spendsByGrant.get(key)[1] = request[1];
                        rateClient.settle(grant.reservation(), request[1]);
                    }
                }));
                return true;
            }
            // A caller waits if the stated retry time ends before its timeout.
            boolean waits = decision instanceof RateDecision.AskOwner
                    || (decision instanceof RateDecision.Refused refusal
                            && millis + refusal.retryAfterMillis() <= request[3]);
            boolean ends = !waits || millis > request[3];
            refused += ends ? 1 : 0;
            return ends;
        }

        void receive(RateResponse response) {
            if (millis < pausedUntil) {
                deliveries.add(new Delivery(pausedUntil, () -> receive(response)));
                return;
            }
            rateClient.accept(response, now());
            retryWaiting();
        }

        private void sendNext() {
            rateClient.nextRequest(now()).ifPresent(request -> {
                Owner receiver = target;
                if (receiver != null && index >= entriesWithoutOwner) {
                    send(() -> receiver.receive(request, this));
                }
            });
        }

        boolean paused() {
            return millis < pausedUntil;
        }

        void step() {
            if (chance(faults.restart())) {
                restart();
            }
            if (target == null || chance(MEAN_OWNER_DISCOVERY_MILLIS)) {
                target = owner;
            }
            if (chance(meanStaleTargetMillis)) {
                target = owners.get(random.nextInt(owners.size()));
            }
            if (chance(faults.entryPause())) {
                pausedUntil = millis + random.nextLong(2 * settings.validMillis());
            }
            if (!paused() && millis % 50 == 0) {
                register();
                retryWaiting();
            }
        }
    }

    private void send(Runnable action) {
        int copies = random.nextInt(100) < faults.lost() ? 0 : random.nextInt(100) < faults.repeated() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long delay = 1 + random.nextInt(4);
            if (random.nextInt(100) < faults.late()) {
                delay = random.nextLong(2 * settings.validMillis());
            }
            deliveries.add(new Delivery(millis + delay, action));
        }
    }

    /** Returns the number of sessions at the owner after processing its events up to now. */
    int sessionCount() {
        owner.rateOwner.updateRegistrations(registrations.keySet(), owner.now(), owner.now());
        return owner.rateOwner.sessionCount();
    }

    List<Entry> entries() {
        return entries;
    }

    /** Advances by one step of 5 ms. */
    void step() {
        millis += STEP_MILLIS;
        while (!deliveries.isEmpty() && deliveries.peek().millis() <= millis) {
            deliveries.remove().action().run();
        }
        if (owner != null) {
            owner.step();
        }
        if (chance(faults.ownerChange()) && owner != null) {
            // The replaced owner no longer renews its lease. It either keeps answering requests or stops.
            Owner old = owner;
            old.renewedMillis = Long.MAX_VALUE / 2;
            old.pausedUntil = replacedOwnersStop ? Long.MAX_VALUE / 2 : old.pausedUntil;
        }
        if (!storeDown && millis >= leaseEndMillis) {
            owner = new Owner();
            owners.add(owner);
            if (owners.size() > MAXIMUM_REMEMBERED_OWNERS) {
                owners.remove(0);
            }
        }
        entries.forEach(Entry::step);
    }

    void configure(RateLimit limit) {
        limits = Map.of(TEAM, limit);
        for (Entry entry : entries) {
            deliveries.add(new Delivery(
                    millis + random.nextLong(5_000), () -> entry.rateClient.configure(limits, entry.now())));
        }
    }

    /**
     * Returns the number of tokens by which the spending exceeds rate·t + burst in the worst interval; at most 0 if the
     * limit is kept.
     */
    double excess(RateLimit limit) {
        List<Spend> sorted = spendsByGrant.values().stream()
                .map(spend -> new Spend(spend[0], spend[1]))
                .sorted((a, b) -> Long.compare(a.millis(), b.millis()))
                .collect(Collectors.toList());
        double level = limit.burst();
        long last = 0;
        double worst = Double.NEGATIVE_INFINITY;
        for (Spend spend : sorted) {
            level = Math.min(limit.burst(), level + limit.rate() * (spend.millis() - last) / 1_000.0) - spend.used();
            last = spend.millis();
            worst = Math.max(worst, -level);
        }
        return worst;
    }
}
