package io.oleandermoor.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs sequences in steps; waiting ones join between steps, smaller priority numbers first. */
final class Batch implements AutoCloseable {

    private final EngineSettings.Batch settings;

    private final Supplier<EngineFaults> faults;

    private final Consumer<List<Integer>> onBlocksStored;

    private final Runnable onCrash;

    private final PrefixCache cache = new PrefixCache();

    private final PriorityQueue<Waiting> waiting =
            new PriorityQueue<>(Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::arrival));

    private final List<Sequence> running = new ArrayList<>();

    private final ScheduledExecutorService steps = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "engine-steps");
        thread.setDaemon(true);
        return thread;
    });

    private long arrivals;

    private long ticks;

    private int reportedRunning;

    private int reportedWaiting;

    Batch(
            EngineSettings.Batch settings,
            Supplier<EngineFaults> faults,
            Consumer<List<Integer>> onBlocksStored,
            Runnable onCrash) {
        this.settings = settings;
        this.faults = faults;
        this.onBlocksStored = onBlocksStored;
        this.onCrash = onCrash;
    }

    void start() {
        if (settings.stepMillis() > 0) {
            var unused = steps.scheduleAtFixedRate(
                    this::tick, settings.stepMillis(), settings.stepMillis(), TimeUnit.MILLISECONDS);
        }
    }

    synchronized void add(Sequence sequence) {
        if (settings.stepMillis() == 0) {
            crashIfAsked(sequence);
            sequence.complete();
            return;
        }
        arrivals++;
        waiting.add(new Waiting(sequence, arrivals));
    }

    synchronized int reportedRunning() {
        return reportedRunning;
    }

    synchronized int reportedWaiting() {
        return reportedWaiting;
    }

    @Override
    public void close() {
        steps.shutdownNow();
    }

    private synchronized void tick() {
        EngineFaults current = faults.get();
        ticks++;
        int reportTicks = Math.max(1, current.loadReportLagMillis() / settings.stepMillis());
        if (ticks % reportTicks == 0) {
            reportedRunning = running.size();
            reportedWaiting = waiting.size();
        }
        if (current.silent() || ticks % current.slowFactor() != 0) {
            return;
        }
        List<Integer> stored = new ArrayList<>();
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            Sequence next = waiting.remove().sequence;
            crashIfAsked(next);
            int words = next.prompt().words().length;
            int cached = cache.admit(next.prompt().model(), next.prompt().words(), stored);
            next.setPrefillSteps((words - cached) / settings.prefillTokensPerStep());
            running.add(next);
        }
        if (!stored.isEmpty()) {
            onBlocksStored.accept(stored);
        }
        running.removeIf(Sequence::step);
    }

    private void crashIfAsked(Sequence sequence) {
        String text = faults.get().crashOnText();
        if (!text.isEmpty() && sequence.prompt().text().contains(text)) {
            onCrash.run();
        }
    }

    private record Waiting(Sequence sequence, long arrival) {

        int priority() {
            return sequence.priority();
        }
    }
}
