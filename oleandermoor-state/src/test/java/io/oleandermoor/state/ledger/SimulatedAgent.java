package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Simulated agent of an upstream with the production ledger. A restart loses the ledger. */
final class SimulatedAgent {

    private static final int STREAM_TOKENS = OutcomeSimulation.STREAM_TOKENS;
    private static final LedgerSettings LEDGER_SETTINGS =
            new LedgerSettings(500, 400, 4_000, 100_000, 1_000, 2_000, 300);

    private final OutcomeSimulation simulation;
    final UpstreamId id;
    long incarnation = 1;
    RequestLedger ledger = new RequestLedger(LEDGER_SETTINGS);
    final Map<AttemptKey, OutcomeSimulation.Call> listeners = new HashMap<>();
    final Set<AttemptKey> stopped = new HashSet<>();

    SimulatedAgent(OutcomeSimulation simulation, int index) {
        this.simulation = simulation;
        this.id = new UpstreamId("upstream" + index);
        for (int time = 50; time < 6_000; time += 50) {
            simulation.schedule(time, () -> stopped.addAll(ledger.expire(simulation.now)));
        }
    }

    void restart() {
        incarnation++;
        ledger = new RequestLedger(LEDGER_SETTINGS);
        listeners.clear();
    }

    /** Runs an action after a delay unless the agent has restarted by then. */
    void scheduleUnlessRestarted(long delay, Runnable action) {
        long scheduledIncarnation = incarnation;
        simulation.schedule(delay, () -> {
            if (incarnation == scheduledIncarnation) {
                action.run();
            }
        });
    }

    void dispatch(OutcomeSimulation.Call call, AttemptKey key, int offset) {
        boolean repeatable = call.caller.kind == OutcomeSimulation.CallKind.STREAM;
        DispatchDecision decision =
                ledger.dispatch(key, repeatable, new InstanceId("entry" + call.entry), offset, simulation.now);
        if (decision instanceof DispatchDecision.Refuse refuse) {
            call.received(new AttemptEvent.NotRun(key, reportedIncarnation(call), refuse.reason(), 0));
        } else if (decision instanceof DispatchDecision.Admit) {
            listeners.put(key, call);
            if (simulation.chance(0.1)) {
                scheduleUnlessRestarted(1, () -> {
                    if (ledger.refuse(key, NotRunReason.BUSY, simulation.now)) {
                        call.received(new AttemptEvent.NotRun(key, reportedIncarnation(call), NotRunReason.BUSY, 0));
                    }
                });
            }
            call.received(new AttemptEvent.Accepted(key));
            scheduleUnlessRestarted(1 + simulation.random.nextInt(60), () -> start(key, offset));
        }
    }

    void start(AttemptKey key, int offset) {
        if (!ledger.tryStart(key)) {
            return;
        }
        simulation.runCounts.merge(key.request(), 1, Integer::sum);
        OutcomeSimulation.Call call = listeners.get(key);
        if (call.caller.kind == OutcomeSimulation.CallKind.STREAM) {
            scheduleUnlessRestarted(2, () -> generate(key, offset));
        } else if (simulation.chance(0.05)) {
            scheduleUnlessRestarted(20, () -> ledger.markOutcomeUnknown(key, simulation.now));
        } else {
            scheduleUnlessRestarted(5 + simulation.random.nextInt(80), () -> finish(key, FinishReason.COMPLETE, 0));
        }
    }

    void generate(AttemptKey key, int offset) {
        if (stopped.contains(key)) {
            finish(key, FinishReason.CANCELLED, offset);
        } else if (offset >= STREAM_TOKENS) {
            finish(key, FinishReason.COMPLETE, STREAM_TOKENS);
        } else if (simulation.chance(0.01)) {
            finish(key, simulation.chance(0.5) ? FinishReason.UPSTREAM_CRASHED : FinishReason.MOVED, offset);
        } else {
            int tokens = Math.min(1 + simulation.random.nextInt(3), STREAM_TOKENS - offset);
            StringBuilder text = new StringBuilder();
            for (int token = offset; token < offset + tokens; token++) {
                text.append(token).append(';');
            }
            TextChunk chunk = new TextChunk(offset, tokens, text.toString());
            if (ledger.append(key, chunk)) {
                listeners.get(key).received(new AttemptEvent.ChunkReceived(key, chunk));
            }
            scheduleUnlessRestarted(1 + simulation.random.nextInt(8), () -> generate(key, offset + tokens));
        }
    }

    void finish(AttemptKey key, FinishReason reason, int end) {
        AttemptResult result = new AttemptResult(reason, 200, List.of(), Body.empty(), end);
        if (ledger.finish(key, result, simulation.now)) {
            listeners.get(key).received(new AttemptEvent.Finished(key, result));
        }
    }

    void query(OutcomeSimulation.Call call, AttemptKey key) {
        boolean unrecorded =
                simulation.disabled == OutcomeSimulation.DisabledMechanism.TOMBSTONE && !listeners.containsKey(key);
        AttemptState state = unrecorded ? AttemptState.NOT_RUN : ledger.query(key, simulation.now);
        call.received(new AttemptEvent.QueryAnswered(key, reportedIncarnation(call), state));
    }

    long reportedIncarnation(OutcomeSimulation.Call call) {
        return simulation.disabled == OutcomeSimulation.DisabledMechanism.INCARNATION_CHECK
                ? call.incarnation
                : incarnation;
    }

    void attach(OutcomeSimulation.Call call, AttemptKey key, int offset) {
        AttachDecision decision = ledger.attach(key, offset, new InstanceId("entry" + call.entry), simulation.now);
        if (decision instanceof AttachDecision.Replay replay) {
            replay.chunks().forEach(chunk -> call.received(new AttemptEvent.ChunkReceived(key, chunk)));
            Optional<AttemptResult> result = replay.result();
            result.ifPresent(value -> call.received(new AttemptEvent.Finished(key, value)));
        } else if (decision instanceof AttachDecision.Unavailable unavailable) {
            call.received(new AttemptEvent.AttachFailed(key, reportedIncarnation(call), unavailable.state()));
        }
    }

    void cancel(OutcomeSimulation.Call call, AttemptKey key) {
        CancelDecision decision = ledger.cancel(key, simulation.now);
        if (decision == CancelDecision.NOT_RUN) {
            call.received(
                    new AttemptEvent.NotRun(key, reportedIncarnation(call), NotRunReason.CANCELLED_BEFORE_START, 0));
        } else if (decision == CancelDecision.STOP) {
            stopped.add(key);
        }
    }
}
