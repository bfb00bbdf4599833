package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Plays streams that several entries send to engines of a service under virtual time, and counts what their callers
 * get. An engine generates one token for each of its streams in a step and processes prompts in pieces between the
 * tokens.
 */
final class EnginePlay {

    private static final double STEP_MILLIS = 8;
    private static final double STEP_MILLIS_PER_STREAM = 0.07;
    private static final double PREFILL_TOKENS_PER_MILLI = 26;
    private static final long PREFILL_PIECE_TOKENS = 4_096;
    private static final int TOKENS_PER_EVENT = 3;
    private static final int SLOTS = 64;
    private static final int EVENTS = 50;
    private static final long MAXIMUM_PROMPT_TOKENS = 4_000;
    private static final long INTERVAL_TARGET_MILLIS = 250;
    private static final long FIRST_EVENT_TARGET_MILLIS = 800;
    private static final long DISPATCH_INTERVAL_MILLIS = 25;
    private static final long REPORT_INTERVAL_MILLIS = 100;
    private static final long NETWORK_DELAY_MILLIS = 2;
    private static final String MODEL = "m";

    private final SplittableRandom random;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final Deque<LoadChange> changesOnTheWay = new ArrayDeque<>();
    private long nowMillis;
    private long nextStream;
    private int sent;
    private int inTime;
    private long totalFirstEventMillis;

    EnginePlay(long seed, int entryCount, int engineCount, Set<DispatchMechanism> mechanisms) {
        random = new SplittableRandom(seed);
        for (int index = 0; index < engineCount; index++) {
            engines.put("engine-" + index, new Engine("engine-" + index));
        }
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Entry(
                    "entry-" + index,
                    new InstanceTable("a", random.nextLong(), EnumSet.copyOf(mechanisms)),
                    random.nextLong(DISPATCH_INTERVAL_MILLIS)));
        }
    }

    private record LoadChange(long arrivalMillis, String entry, String engine, int load, long unreadPromptTokens) {}

    private final class Stream {

        private final long number = nextStream++;
        private final Entry entry;
        private final long arrivedMillis;
        private final long promptTokens;
        private long unreadTokens;
        private int tokens;
        private long lastEventMillis;
        private boolean late;

        private Stream(Entry entry) {
            this.entry = entry;
            this.arrivedMillis = nowMillis;
            double mean = 1_000 * -Math.log(1 - random.nextDouble());
            this.promptTokens = 300 + Math.min(MAXIMUM_PROMPT_TOKENS, (long) mean);
            this.unreadTokens = promptTokens;
        }
    }

    private final class Entry {

        private final String name;
        private final InstanceTable table;
        private final long phaseMillis;
        private final Deque<Stream> queue = new ArrayDeque<>();

        private Entry(String name, InstanceTable table, long phaseMillis) {
            this.name = name;
            this.table = table;
            this.phaseMillis = phaseMillis;
            engines.keySet()
                    .forEach(id -> table.put(
                            new UpstreamInstance(
                                    id,
                                    "words",
                                    "10.0.0.1",
                                    80,
                                    "a",
                                    SLOTS,
                                    false,
                                    OptionalLong.empty(),
                                    Map.of(MODEL, Set.of()),
                                    Set.of(),
                                    1,
                                    SoftwareVersion.UNSTATED),
                            0));
        }

        private InstanceState state(Engine engine) {
            return table.state(engine.id).orElseThrow();
        }

        private void dispatch() {
            while (!queue.isEmpty()) {
                Prompt prompt = new Prompt(queue.getFirst().promptTokens, List.of(), List.of());
                InstanceQuery query =
                        new InstanceQuery("words", Optional.of(ModelTarget.parse(MODEL)), prompt, Set.of());
                Optional<UpstreamInstance> chosen =
                        table.choose(query, nowMillis).instance();
                if (chosen.isEmpty()) {
                    return;
                }
                Stream stream = queue.removeFirst();
                Engine engine = engines.get(chosen.get().id());
                state(engine).requestSent();
                state(engine).prefillStarted(stream.promptTokens);
                engine.waiting.addLast(stream);
                reportLoad(engine);
            }
        }

        private void reportLoad(Engine engine) {
            changesOnTheWay.addLast(new LoadChange(
                    nowMillis + NETWORK_DELAY_MILLIS,
                    name,
                    engine.id,
                    state(engine).localLoad(),
                    state(engine).pendingPrefillTokens()));
        }

        private Map<String, Integer> loads() {
            Map<String, Integer> loads = new HashMap<>();
            engines.values()
                    .forEach(engine -> loads.put(engine.id, state(engine).localLoad()));
            return loads;
        }

        private Map<String, Long> unreadPromptTokens() {
            Map<String, Long> tokens = new HashMap<>();
            engines.values()
                    .forEach(engine -> tokens.put(engine.id, state(engine).pendingPrefillTokens()));
            return tokens;
        }
    }

    private final class Engine {

        private final String id;
        private final Deque<Stream> waiting = new ArrayDeque<>();
        private final List<Stream> running = new ArrayList<>();
        private final List<Stream> readInStep = new ArrayList<>();
        private double stepEndMillis;

        private Engine(String id) {
            this.id = id;
        }

        private void advance() {
            if (nowMillis < stepEndMillis) {
                return;
            }
            endStep();
            startStep();
        }

        private void startStep() {
            long budget = PREFILL_PIECE_TOKENS;
            while (!waiting.isEmpty() && budget > 0 && running.size() + readInStep.size() < SLOTS) {
                Stream stream = waiting.getFirst();
                long tokens = Math.min(budget, stream.unreadTokens);
                stream.unreadTokens -= tokens;
                budget -= tokens;
                if (stream.unreadTokens == 0) {
                    readInStep.add(waiting.removeFirst());
                }
            }
            long readTokens = PREFILL_PIECE_TOKENS - budget;
            stepEndMillis = nowMillis
                    + STEP_MILLIS
                    + STEP_MILLIS_PER_STREAM * running.size()
                    + readTokens / PREFILL_TOKENS_PER_MILLI;
        }

        private void endStep() {
            running.addAll(readInStep);
            readInStep.clear();
            for (Stream stream : List.copyOf(running)) {
                stream.tokens++;
                if (stream.tokens == 1 || stream.tokens % TOKENS_PER_EVENT == 0) {
                    receiveEvent(stream);
                }
                if (stream.tokens >= EVENTS * TOKENS_PER_EVENT) {
                    running.remove(stream);
                    InstanceState state = stream.entry.state(this);
                    state.requestEnded();
                    state.forgetStream(stream.number);
                    inTime += stream.late ? 0 : 1;
                }
            }
        }

        private void receiveEvent(Stream stream) {
            InstanceState state = stream.entry.state(this);
            if (stream.tokens == 1) {
                state.prefillEnded(stream.promptTokens);
                stream.entry.reportLoad(this);
                totalFirstEventMillis += nowMillis - stream.arrivedMillis;
                stream.late = nowMillis - stream.arrivedMillis > FIRST_EVENT_TARGET_MILLIS;
            } else {
                stream.late |= nowMillis - stream.lastEventMillis > INTERVAL_TARGET_MILLIS;
            }
            stream.lastEventMillis = nowMillis;
            state.recordStreamProgress(stream.number, INTERVAL_TARGET_MILLIS, nowMillis);
        }
    }

    /** Sends streams at a mean rate, independently of each other, and plays until the last one has ended. */
    void run(double streamsPerSecond, long durationMillis) {
        while (nowMillis < durationMillis || engines.values().stream().anyMatch(engine -> !isIdle(engine))) {
            if (nowMillis < durationMillis && random.nextDouble() < streamsPerSecond / 1_000) {
                Entry entry = entries.get(random.nextInt(entries.size()));
                entry.queue.addLast(new Stream(entry));
                sent++;
            }
            deliverChanges();
            for (Entry entry : entries) {
                if (!entry.queue.isEmpty() && (nowMillis + entry.phaseMillis) % DISPATCH_INTERVAL_MILLIS == 0) {
                    entry.dispatch();
                }
                if ((nowMillis + entry.phaseMillis) % REPORT_INTERVAL_MILLIS == 0) {
                    entries.stream()
                            .filter(other -> other != entry)
                            .forEach(other -> other.table.updatePeerLoads(
                                    entry.name, entry.loads(), entry.unreadPromptTokens(), nowMillis));
                }
            }
            engines.values().forEach(Engine::advance);
            nowMillis++;
        }
    }

    private void deliverChanges() {
        while (!changesOnTheWay.isEmpty() && changesOnTheWay.getFirst().arrivalMillis() <= nowMillis) {
            LoadChange change = changesOnTheWay.removeFirst();
            for (Entry entry : entries) {
                if (!entry.name.equals(change.entry())) {
                    entry.table.updatePeerLoad(
                            change.entry(), change.engine(), change.load(), change.unreadPromptTokens(), nowMillis);
                }
            }
        }
    }

    private boolean isIdle(Engine engine) {
        return engine.running.isEmpty()
                && engine.waiting.isEmpty()
                && engine.readInStep.isEmpty()
                && entries.stream().allMatch(entry -> entry.queue.isEmpty());
    }

    int sent() {
        return sent;
    }

    /** Returns the fraction of the streams that met their targets for the first event and for each pause. */
    double inTimeRatio() {
        return (double) inTime / sent;
    }

    double meanFirstEventMillis() {
        return (double) totalFirstEventMillis / sent;
    }
}
