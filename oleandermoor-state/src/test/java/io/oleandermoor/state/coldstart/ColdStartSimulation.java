package io.oleandermoor.state.coldstart;

import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.Prompt;
import io.oleandermoor.state.fleet.ColdStartProfile;
import io.oleandermoor.state.fleet.InstanceDescription;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.fleet.UpstreamService;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A simulation in virtual time of entries whose instances of one failure domain are unavailable for two seconds and
 * come back cold together, under a burst.
 */
final class ColdStartSimulation {

    static final long DOWN_MILLIS = 2_000;
    static final long UP_MILLIS = 4_000;
    static final long COLD_MILLIS = 3_000;
    private static final long END_MILLIS = UP_MILLIS + COLD_MILLIS + 1_000;
    private static final int INSTANCES_PER_DOMAIN = 4;
    private static final int SLOTS = 48;
    private static final long SERVICE_MILLIS = 120;
    private static final long CONNECT_MILLIS = 3;
    private static final long MAXIMUM_WAIT_MILLIS = 1_000;
    private static final long TICK_MILLIS = 25;
    private static final String SERVICE = "words";

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));
    private final List<Entry> entries = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private long now;
    private long eventCount;
    private int refused;

    /**
     * What differs between simulations.
     *
     * @param entries the number of entries
     * @param coldPerSecond the rate that a cold instance tolerates
     * @param limited whether the configuration says that instances are cold after their start
     * @param cutOffShare the share of the entries that the description of the new runs does not reach
     * @param restarted whether all entries restart when the instances come back
     */
    record Scenario(int entries, double coldPerSecond, boolean limited, double cutOffShare, boolean restarted) {}

    /**
     * What was measured.
     *
     * @param mostInOneSecond the most requests that arrived at a cold instance in one second
     * @param coldRequests the requests that arrived at cold instances
     * @param refused the requests that no instance took in time
     */
    record Outcome(int mostInOneSecond, int coldRequests, int refused) {}

    private record Event(long millis, long order, Runnable action) {}

    private record Request(long arrivedMillis) {}

    private static final class Instance {

        private final String id;
        private final String domain;
        private final List<Long> arrivals = new ArrayList<>();
        private boolean up = true;
        private long startedMillis = 1;

        Instance(String id, String domain) {
            this.id = id;
            this.domain = domain;
        }

        InstanceDescription description(OptionalLong coldRemaining) {
            UpstreamInstance instance = new UpstreamInstance(
                    id,
                    SERVICE,
                    "10.0.0.1",
                    Integer.parseInt(id) + 1,
                    domain,
                    SLOTS,
                    false,
                    OptionalLong.empty(),
                    Map.of(),
                    Set.of(),
                    startedMillis,
                    SoftwareVersion.UNSTATED);
            return new InstanceDescription(instance, coldRemaining);
        }
    }

    private static final class Entry {

        private final InstanceTable table;
        private final ColdStarts coldStarts;
        private final Set<String> connected = new HashSet<>();
        private final List<Request> queue = new ArrayList<>();
        private long readyMillis;
        private boolean ended;

        Entry(long seed) {
            // The instances that come back are the nearest and cheapest ones for all entries.
            table = new InstanceTable("c", seed);
            coldStarts = new ColdStarts(new ColdStartBounds(1.5, 5), new SplittableRandom(seed));
            table.addRule(coldStarts);
        }
    }

    ColdStartSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    Outcome run(int quietPerSecond, int burstPerSecond) {
        for (int index = 0; index < 3 * INSTANCES_PER_DOMAIN; index++) {
            instances.add(
                    new Instance(String.valueOf(index), List.of("a", "b", "c").get(index % 3)));
        }
        for (int index = 0; index < scenario.entries(); index++) {
            entries.add(newEntry());
            entries.get(index).coldStarts.recordEntries(scenario.entries(), index, -10_000);
            for (Instance instance : instances) {
                describe(entries.get(index), instance, OptionalLong.empty());
                entries.get(index).connected.add(instance.id);
            }
            entries.get(index).coldStarts.recordListRead();
        }
        at(DOWN_MILLIS, () -> domain().forEach(this::stop));
        at(UP_MILLIS, this::comeBack);
        at(TICK_MILLIS, this::tick);
        at(0, () -> arrive(quietPerSecond, burstPerSecond));
        while (now < END_MILLIS) {
            Event event = events.remove();
            now = event.millis();
            event.action().run();
        }
        return outcome();
    }

    private Entry newEntry() {
        Entry entry = new Entry(random.nextLong());
        if (scenario.limited()) {
            ColdStartProfile profile = new ColdStartProfile(COLD_MILLIS, scenario.coldPerSecond());
            entry.coldStarts.configure(
                    List.of(new UpstreamService(SERVICE, 1_000, Optional.empty(), Optional.of(profile))), now);
        }
        return entry;
    }

    private void describe(Entry entry, Instance instance, OptionalLong coldRemaining) {
        InstanceDescription description = instance.description(coldRemaining);
        entry.table.put(description.instance(), now);
        entry.coldStarts.recordDescription(description, eventCount, now);
    }

    private List<Instance> domain() {
        return instances.stream()
                .filter(instance -> instance.domain.equals("c"))
                .toList();
    }

    private void at(long millis, Runnable action) {
        events.add(new Event(millis, eventCount++, action));
    }

    private void arrive(int quietPerSecond, int burstPerSecond) {
        int perSecond = now >= UP_MILLIS ? burstPerSecond : quietPerSecond;
        Entry entry = entries.get(random.nextInt(entries.size()));
        if (now >= entry.readyMillis) {
            dispatch(entry, new Request(now));
        }
        double gapMillis = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        at(now + Math.round(gapMillis), () -> arrive(quietPerSecond, burstPerSecond));
    }

    private void tick() {
        for (Entry entry : entries) {
            List<Request> waiting = List.copyOf(entry.queue);
            entry.queue.clear();
            waiting.forEach(request -> dispatch(entry, request));
        }
        at(now + TICK_MILLIS, this::tick);
    }

    private void dispatch(Entry entry, Request request) {
        if (entry.ended) {
            return;
        }
        InstanceQuery query = new InstanceQuery(SERVICE, Optional.empty(), Prompt.NONE, Set.of());
        Optional<UpstreamInstance> chosen = entry.table.choose(query, now).instance();
        if (chosen.isPresent()) {
            send(entry, instances.get(Integer.parseInt(chosen.get().id())), request);
        } else if (now - request.arrivedMillis() > MAXIMUM_WAIT_MILLIS) {
            refused++;
        } else {
            entry.queue.add(request);
        }
    }

    private void send(Entry entry, Instance instance, Request request) {
        long sentMillis = now;
        state(entry, instance).ifPresent(InstanceState::requestSent);
        entry.table.recordSend(instance.id, now);
        if (entry.connected.contains(instance.id)) {
            at(now + 1, () -> serve(entry, instance, request));
        } else {
            at(now + CONNECT_MILLIS, () -> connect(entry, instance, request, sentMillis));
        }
    }

    private void connect(Entry entry, Instance instance, Request request, long sentMillis) {
        if (!instance.up) {
            state(entry, instance).ifPresent(state -> state.recordUnreachable(now));
            entry.coldStarts.recordContactLost(instance.id);
            entry.coldStarts.giveBack(instance.id, sentMillis);
            sendAgain(entry, instance, request);
        } else if (entry.coldStarts.confirmSend(instance.id, sentMillis, now)) {
            entry.connected.add(instance.id);
            serve(entry, instance, request);
        } else {
            sendAgain(entry, instance, request);
        }
    }

    private void serve(Entry entry, Instance instance, Request request) {
        if (!instance.up) {
            entry.coldStarts.recordContactLost(instance.id);
            sendAgain(entry, instance, request);
            return;
        }
        instance.arrivals.add(now);
        long run = instance.startedMillis;
        at(now + SERVICE_MILLIS, () -> {
            if (instance.up && instance.startedMillis == run) {
                state(entry, instance).ifPresent(state -> {
                    state.requestEnded();
                    state.recordSuccess(now);
                });
            } else {
                sendAgain(entry, instance, request);
            }
        });
    }

    private void sendAgain(Entry entry, Instance instance, Request request) {
        state(entry, instance).ifPresent(InstanceState::requestEnded);
        dispatch(entry, request);
    }

    private static Optional<InstanceState> state(Entry entry, Instance instance) {
        return entry.table.state(instance.id);
    }

    private void stop(Instance instance) {
        instance.up = false;
        for (Entry entry : entries) {
            entry.connected.remove(instance.id);
            entry.coldStarts.recordContactLost(instance.id);
        }
    }

    private void comeBack() {
        for (Instance instance : domain()) {
            instance.up = true;
            instance.startedMillis = UP_MILLIS;
            instance.arrivals.clear();
        }
        if (scenario.restarted()) {
            entries.forEach(entry -> entry.ended = true);
            entries.clear();
            for (int index = 0; index < scenario.entries(); index++) {
                entries.add(newEntry());
                restart(entries.get(index));
            }
            return;
        }
        for (int index = 0; index < entries.size(); index++) {
            Entry entry = entries.get(index);
            if (index >= scenario.cutOffShare() * entries.size()) {
                at(now + 10 + random.nextInt(340), () -> describeDomain(entry));
            }
        }
    }

    private void describeDomain(Entry entry) {
        OptionalLong remaining = OptionalLong.of(UP_MILLIS + COLD_MILLIS - now);
        domain().forEach(instance -> describe(entry, instance, remaining));
    }

    /** Starts an entry that registers within half a second; the others learn of it 400 ms later. */
    private void restart(Entry entry) {
        for (Instance instance : instances) {
            describe(entry, instance, OptionalLong.of(instance.domain.equals("c") ? COLD_MILLIS : 0));
        }
        entry.coldStarts.recordListRead();
        entry.readyMillis = now + random.nextInt(500);
        at(entry.readyMillis + 400, this::updateEntryCounts);
    }

    private void updateEntryCounts() {
        int known = (int)
                entries.stream().filter(each -> each.readyMillis + 400 <= now).count();
        for (int index = 0; index < entries.size(); index++) {
            Entry entry = entries.get(index);
            int count = entry.readyMillis + 400 <= now ? known : known + 1;
            entry.coldStarts.recordEntries(count, Math.min(count - 1, index), now);
        }
    }

    private Outcome outcome() {
        int most = 0;
        int total = 0;
        for (Instance instance : domain()) {
            List<Long> arrivals = instance.arrivals.stream()
                    .filter(millis -> millis <= UP_MILLIS + COLD_MILLIS)
                    .toList();
            total += arrivals.size();
            for (int first = 0, last = 0; last < arrivals.size(); last++) {
                while (arrivals.get(last) - arrivals.get(first) >= 1_000) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        return new Outcome(most, total, refused);
    }
}
