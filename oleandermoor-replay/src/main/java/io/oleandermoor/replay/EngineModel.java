package io.oleandermoor.replay;

import io.oleandermoor.state.admission.AdmissionDecision;
import io.oleandermoor.state.admission.Deadline;
import io.oleandermoor.state.admission.QueueSettings;
import io.oleandermoor.state.admission.SuspectQueue;
import io.oleandermoor.state.admission.WaitingRequest;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.ledger.AttemptEvent;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.Body;
import io.oleandermoor.state.ledger.Crash;
import io.oleandermoor.state.ledger.DispatchDecision;
import io.oleandermoor.state.ledger.FinishReason;
import io.oleandermoor.state.ledger.LedgerSettings;
import io.oleandermoor.state.ledger.NotRunReason;
import io.oleandermoor.state.ledger.RequestLedger;
import io.oleandermoor.state.ledger.TextChunk;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.Fencing;
import io.oleandermoor.state.memory.MemoryAccount;
import io.oleandermoor.state.memory.MemorySettings;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.OrderRecord;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.routing.PromptPrefix;
import io.oleandermoor.state.routing.UpstreamLoad;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One engine and its agent: the queue, ledger and memory account are the real ones, the engine is a fake. */
final class EngineModel {

    /** Speeds of the fake engine in tokens/s: prefill of one prompt, decoding in one slot. */
    private static final int PREFILL_SPEED = 8_000;

    private static final int DECODE_SPEED = 100;
    private static final int CACHED_BLOCKS = 2_000;
    private static final int MAXIMUM_QUEUED = 200;
    private static final int BATCH_SHARE_PERCENT = 20;
    private static final long CRASH_MILLIS = 50;
    private static final long RESTART_MILLIS = 5_000;
    /** Time until an entry gives up an agent that does not answer: heartbeat timeout and one failed connection. */
    private static final long DEAD_MILLIS = 3_000;

    private record Task(RequestRun run, EntryModel entry, int offset, long offeredMillis) {}

    final Deployment.Engine spec;
    private final World world;
    /** Actual memory of the fake engine, including what is being loaded. */
    final Map<Weights, Long> resident = new TreeMap<>(Weights.ORDER);

    final Map<Weights, Boolean> ready = new TreeMap<>(Weights.ORDER);
    boolean live;
    long incarnation;
    MemoryAccount account;
    private RequestLedger ledger = new RequestLedger(LedgerSettings.defaults());
    private SuspectQueue<AttemptKey> queue;
    private final Map<AttemptKey, Task> tasks = new HashMap<>();
    private final Map<AttemptKey, Long> startedMillis = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long usedMegabytes;

    EngineModel(World world, Deployment.Engine spec) {
        this.world = world;
        this.spec = spec;
        this.queue = newQueue();
        this.account = MemoryAccount.takeOver(memorySettings(), OrderRecord.empty(), ++incarnation, 0);
        this.account.applyListing(new EngineListing(List.of()), 0);
        this.live = true;
    }

    long usedMegabytes() {
        return usedMegabytes;
    }

    void take(Weights weights, long megabytes) {
        Long before = resident.put(weights, megabytes);
        usedMegabytes += megabytes - (before == null ? 0 : before);
    }

    void free(Weights weights) {
        Long before = resident.remove(weights);
        usedMegabytes -= before == null ? 0 : before;
        ready.remove(weights);
    }

    boolean isReady(ModelName model) {
        return live
                && ready.keySet().stream()
                        .anyMatch(weights -> weights instanceof ModelVersion version
                                && version.name().equals(model));
    }

    UpstreamLoad load() {
        return new UpstreamLoad(
                queue.runningCount(),
                queue.waitingCount(),
                spec.slots(),
                (int) Math.min(Integer.MAX_VALUE, queue.expectedWaitMillis()),
                world.schedule.now());
    }

    void dispatch(RequestRun run, AttemptKey key, EntryModel entry, int offset) {
        long now = world.schedule.now();
        if (!live) {
            world.schedule.after(DEAD_MILLIS, () -> entry.on(run, new AttemptEvent.AgentDead(key)));
            return;
        }
        DispatchDecision decision = ledger.dispatch(key, run.request.repeatable(), entry.instance(), offset, now);
        if (decision instanceof DispatchDecision.Refuse refuse) {
            send(entry, run, new AttemptEvent.NotRun(key, incarnation, refuse.reason(), 0));
            return;
        }
        tasks.put(key, new Task(run, entry, offset, now));
        AdmissionDecision admission = queue.offer(
                new WaitingRequest<>(
                        key,
                        run.request.team(),
                        Math.max(1, world.measurements.rateOf(run.request.team())),
                        run.request.requestClass(),
                        run.request.tokens(),
                        new Deadline(run.deadlineMillis())),
                run.fingerprint(),
                this::isSuspect,
                now);
        if (admission instanceof AdmissionDecision.Refused refused) {
            notRun(key, NotRunReason.BUSY, refused.retryAfterMillis());
            return;
        }
        pump();
    }

    /** Removes late requests and starts others while slots are free. */
    void pump() {
        if (!live) {
            return;
        }
        long now = world.schedule.now();
        queue.expire(now).forEach(expired -> notRun(expired.key(), NotRunReason.DEADLINE_PASSED, 0));
        queue.poll(this::isSuspect, now).ifPresent(next -> {
            start(next.key());
            pump();
        });
    }

    private boolean isSuspect(String fingerprint) {
        return world.crashes.isSuspect(fingerprint, world.schedule.now());
    }

    private void start(AttemptKey key) {
        Task task = tasks.get(key);
        long now = world.schedule.now();
        if (task == null || !isReady(task.run.request.model())) {
            queue.finished(key, 0, now);
            notRun(key, NotRunReason.MODEL_NOT_READY, 0);
            return;
        }
        if (!ledger.start(key)) {
            queue.finished(key, 0, now);
            return;
        }
        RequestRun run = task.run;
        run.runs += world.faults.contains(Fault.RUNS_TWICE) ? 2 : 1;
        world.invariants.started(run);
        if (!run.hasStarted()) {
            run.queueMillis = now - task.offeredMillis;
        }
        startedMillis.put(key, now);
        if (world.faults.contains(Fault.NOT_RUN_AFTER_START)) {
            send(task.entry, run, new AttemptEvent.NotRun(key, incarnation, NotRunReason.REFUSED_CONTENT, 0));
        }
        long own = incarnation;
        if (run.request.crashes()) {
            world.schedule.after(CRASH_MILLIS, () -> whenRunning(own, this::crash));
            return;
        }
        long prefill = 1_000L * uncachedTokens(run) / PREFILL_SPEED + 1;
        int left = run.request.outputTokens() - task.offset;
        world.schedule.after(
                prefill, () -> whenRunning(own, () -> chunk(key, task, new TextChunk(task.offset, 1, ""))));
        world.schedule.after(
                prefill + 1_000L * left / DECODE_SPEED, () -> whenRunning(own, () -> finish(key, task, left)));
    }

    private void finish(AttemptKey key, Task task, int left) {
        if (left > 1) {
            chunk(key, task, new TextChunk(task.offset + 1, left - 1, ""));
        }
        AttemptResult result =
                new AttemptResult(FinishReason.COMPLETE, 200, List.of(), Body.empty(), task.run.request.outputTokens());
        ledger.finish(key, result, world.schedule.now());
        queue.finished(key, task.run.request.tokens(), world.schedule.now());
        tasks.remove(key);
        startedMillis.remove(key);
        send(task.entry, task.run, new AttemptEvent.Finished(key, result));
        pump();
    }

    private void chunk(AttemptKey key, Task task, TextChunk chunk) {
        ledger.append(key, chunk);
        send(task.entry, task.run, new AttemptEvent.ChunkArrived(key, chunk));
    }

    private void notRun(AttemptKey key, NotRunReason reason, long retryAfterMillis) {
        Task task = tasks.remove(key);
        if (task != null && ledger.refuse(key, reason, world.schedule.now())) {
            send(task.entry, task.run, new AttemptEvent.NotRun(key, incarnation, reason, retryAfterMillis));
        }
    }

    private void send(EntryModel entry, RequestRun run, AttemptEvent event) {
        world.schedule.after(World.MESSAGE_MILLIS, () -> entry.on(run, event));
    }

    private void whenRunning(long ofIncarnation, Runnable action) {
        if (live && incarnation == ofIncarnation) {
            action.run();
        }
    }

    /** The engine dies and its agent reports it. */
    private void crash() {
        long now = world.schedule.now();
        Crash crash = new Crash(spec.id(), incarnation, now);
        queue.charged(now).forEach(fingerprint -> world.crashes.add(fingerprint, crash));
        world.measurements.crashes++;
        for (AttemptKey key : List.copyOf(startedMillis.keySet())) {
            Task task = tasks.remove(key);
            ledger.lose(key, now);
            if (task != null) {
                send(
                        task.entry,
                        task.run,
                        new AttemptEvent.Finished(
                                key, new AttemptResult(FinishReason.UPSTREAM_CRASHED, 0, List.of(), Body.empty(), 0)));
            }
        }
        for (AttemptKey key : List.copyOf(tasks.keySet())) {
            notRun(key, NotRunReason.UPSTREAM_UNREACHABLE, 0);
        }
        lose();
        world.schedule.after(RESTART_MILLIS, this::comeBack);
    }

    /** Engine and agent vanish; entries notice later. */
    void lose() {
        if (!live) {
            return;
        }
        live = false;
        tasks.forEach((key, task) ->
                world.schedule.after(DEAD_MILLIS, () -> task.entry.on(task.run, new AttemptEvent.AgentDead(key))));
        tasks.clear();
        startedMillis.clear();
        resident.clear();
        ready.clear();
        cache.clear();
        usedMegabytes = 0;
        world.fleet.lost(this);
    }

    /** A new engine and agent start without weights. */
    void comeBack() {
        if (live) {
            return;
        }
        live = true;
        long now = world.schedule.now();
        account = MemoryAccount.takeOver(memorySettings(), account.record(), ++incarnation, now);
        account.applyListing(new EngineListing(List.of()), now);
        ledger = new RequestLedger(LedgerSettings.defaults());
        queue = newQueue();
        world.fleet.publish(this);
    }

    /** Returns the prompt tokens that are not in the prefix cache, and caches the prompt. */
    private int uncachedTokens(RequestRun run) {
        PromptPrefix prefix = run.prefix;
        int held = 0;
        while (held < prefix.blockCount() && cache.containsKey(prefix.hash(held))) {
            held++;
        }
        for (int block = 0; block < prefix.blockCount(); block++) {
            cache.put(prefix.hash(block), true);
        }
        while (cache.size() > CACHED_BLOCKS) {
            cache.remove(cache.keySet().iterator().next());
        }
        return Math.max(1, run.request.promptTokens() * (prefix.blockCount() + 1 - held) / (prefix.blockCount() + 1));
    }

    private SuspectQueue<AttemptKey> newQueue() {
        return new SuspectQueue<>(
                new QueueSettings(world.policies.admission(), spec.slots(), MAXIMUM_QUEUED, 1, 1, BATCH_SHARE_PERCENT));
    }

    private MemorySettings memorySettings() {
        return new MemorySettings(spec.id(), spec.memoryMegabytes(), Fencing.HONOURED, 2_000, 1_000);
    }
}
