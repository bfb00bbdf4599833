package io.oleandermoor.replay;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.ledger.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects violations of the guarantees. */
final class Invariants {

    private static final int MAXIMUM_LISTED = 50;

    private final Schedule schedule;
    private final List<String> violations = new ArrayList<>();
    private final Map<ModelName, Long> unreachableSince = new HashMap<>();

    Invariants(Schedule schedule) {
        this.schedule = schedule;
    }

    void check(boolean holds, String message) {
        if (!holds && violations.size() < MAXIMUM_LISTED) {
            violations.add(schedule.now() + " ms: " + message);
        }
    }

    void memory(EngineModel engine) {
        if (engine.usedMegabytes() > engine.spec.memoryMegabytes()) {
            check(false, "memory of " + engine.spec.id() + " is overcommitted");
        }
    }

    void reachable(ModelName model, boolean reachable, long repairMillis) {
        if (reachable) {
            unreachableSince.remove(model);
        } else {
            long since = unreachableSince.computeIfAbsent(model, key -> schedule.now());
            check(schedule.now() - since <= repairMillis, model + " has no ready copy beyond the repair time");
        }
    }

    void started(RequestRun run) {
        check(run.runs <= 1 || run.request.repeatable(), "non-repeatable request " + run.id + " runs again");
    }

    void answered(RequestRun run, Outcome outcome) {
        check(run.answers == 1, "request " + run.id + " is answered " + run.answers + " times");
        check(outcome != Outcome.NOT_RUN || run.runs == 0, "request " + run.id + " ran and is reported as not run");
    }

    List<String> violations() {
        return List.copyOf(violations);
    }
}
