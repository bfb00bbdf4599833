package io.oleandermoor.gateway.soak;

import io.oleandermoor.gateway.standin.EntryFixture;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records all runs by request id and judges what callers received for them. */
final class RunLedger {

    /** Statuses that promise that the request was not executed. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** Statuses of the entry itself that promise nothing. */
    private static final Set<Integer> UNKNOWN_OUTCOMES = Set.of(502, 504);

    private final Map<String, Integer> played = new ConcurrentHashMap<>();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

    /** Counts requests by what their connection had carried before. */
    void countPlayed(String situation) {
        played.merge(situation, 1, Integer::sum);
    }

    Map<String, Integer> played() {
        return played;
    }

    void record(String requestId, Run run) {
        runs.computeIfAbsent(requestId, id -> new CopyOnWriteArrayList<>()).add(run);
    }

    List<Run> runs(String requestId) {
        return runs.getOrDefault(requestId, List.of());
    }

    /** Returns which rule an answer breaks, if any. */
    Optional<String> judge(CallerAnswer answer) {
        List<Run> ownRuns = runs(answer.requestId());
        if (answer.path().equals(EntryFixture.UNSAFE_PATH) && ownRuns.size() > 1) {
            return Optional.of("executed more than once");
        }
        if (!answer.surplus().isEmpty()) {
            return Optional.of("bytes behind the answer");
        }
        if (!answer.complete()) {
            boolean ownBytes = answer.body().isEmpty()
                    || ownRuns.stream().anyMatch(run -> run.body().startsWith(answer.body()));
            return ownBytes ? Optional.empty() : Optional.of("bytes of another answer in an aborted one");
        }
        if (PROMISES.contains(answer.status())) {
            return ownRuns.isEmpty() ? Optional.empty() : Optional.of("executed in spite of the promise");
        }
        if (UNKNOWN_OUTCOMES.contains(answer.status())) {
            return answer.stamps().isEmpty() ? Optional.empty() : Optional.of("signed answer of no run");
        }
        return judgeForwarded(answer, ownRuns);
    }

    private static Optional<String> judgeForwarded(CallerAnswer answer, List<Run> ownRuns) {
        if (answer.success() && ownRuns.stream().noneMatch(run -> run.status() == answer.status())) {
            return Optional.of("success for a run that failed");
        }
        if (answer.stamps().size() != 1) {
            return Optional.of("not exactly one signature");
        }
        boolean ownId = answer.requestIds().equals(List.of(answer.requestId()));
        if (!ownId && (answer.success() || !answer.requestIds().isEmpty())) {
            return Optional.of("not exactly its own request id");
        }
        Optional<Run> signed = ownRuns.stream()
                .filter(run -> run.stamp().equals(answer.stamps().get(0)))
                .findFirst();
        if (signed.isEmpty() || signed.get().status() != answer.status()) {
            return Optional.of("status or signature of no run");
        }
        return signed.get().body().equals(answer.body()) ? Optional.empty() : Optional.of("not the body of the run");
    }
}
