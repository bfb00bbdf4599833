package io.oleandermoor.state.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.Crash;
import io.oleandermoor.state.ledger.CrashAttribution;
import io.oleandermoor.state.ledger.CrashRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class SuspectQueueTest {

    private static final long FAR_DEADLINE_MILLIS = 1_000_000;

    private static final String POISON = "poison";

    private static SuspectQueue<String> queue(int slots) {
        return new SuspectQueue<>(new QueueSettings(AdmissionPolicy.WEIGHTED, slots, 200, 1, 1, 20));
    }

    private static WaitingRequest<String> request(String key, long deadlineMillis) {
        return new WaitingRequest<>(key, new TeamName("team"), 1, RequestClass.LIVE, 100, new Deadline(deadlineMillis));
    }

    @Test
    @DisplayName("Suspects neither delay other requests nor occupy a slot while held, and expire at their deadline")
    void suspectsNeitherDelayOthersNorOccupySlotsAndExpireAtTheirDeadline() {
        SuspectQueue<String> queue = queue(2);
        Predicate<String> isSuspect = fingerprint -> fingerprint.startsWith("s");
        queue.offer(request("first", FAR_DEADLINE_MILLIS), "s1", isSuspect, 0);
        assertThat(queue.poll(isSuspect, 0)).isPresent();
        queue.offer(request("held", FAR_DEADLINE_MILLIS), "s2", isSuspect, 10);
        queue.offer(request("late", 1_000), "s3", isSuspect, 10);
        queue.offer(request("innocent", FAR_DEADLINE_MILLIS), "i", isSuspect, 10);
        assertThat(queue.poll(isSuspect, 10).map(WaitingRequest::key)).hasValue("innocent");
        assertThat(queue.waitingCount()).isEqualTo(2);
        queue.finished("innocent", 0, 20);
        assertThat(queue.expire(1_000)).extracting(WaitingRequest::key).containsExactly("late");
        assertThat(queue.poll(isSuspect, CrashAttribution.NEWLY_STARTED_MILLIS)).isEmpty();
        assertThat(queue.poll(isSuspect, CrashAttribution.NEWLY_STARTED_MILLIS + 1))
                .isPresent();
        assertThat(queue.cancel("held")).as("runs").isEmpty();
    }

    @Test
    @DisplayName("Suspects do not wait for requests with the same fingerprint or for requests that have finished")
    void suspectsDoNotWaitForEqualOrFinishedRequests() {
        SuspectQueue<String> queue = queue(4);
        Predicate<String> all = fingerprint -> true;
        queue.offer(request("a", FAR_DEADLINE_MILLIS), "same", all, 0);
        queue.offer(request("b", FAR_DEADLINE_MILLIS), "same", all, 0);
        assertThat(queue.poll(all, 0)).isPresent();
        assertThat(queue.poll(all, 0)).isPresent();
        queue.offer(request("c", FAR_DEADLINE_MILLIS), "other", all, 0);
        assertThat(queue.poll(all, 1)).isEmpty();
        queue.finished("a", 10, 2);
        queue.finished("b", 10, 2);
        assertThat(queue.poll(all, 3)).isPresent();
    }

    /** Guards against a crash that is charged to two suspects, and against suspects that never start. */
    @Property(tries = 300, seed = "21")
    void neverStartsTwoSuspectsTogether(@ForAll int seed) {
        Random random = new Random(seed);
        SuspectQueue<String> queue = queue(4);
        Predicate<String> isSuspect = fingerprint -> fingerprint.startsWith("s");
        List<String> running = new ArrayList<>();
        int started = 0;
        for (int step = 0; step < 300; step++) {
            long now = step * 250L;
            if (step < 20) {
                String fingerprint = (random.nextBoolean() ? "s" : "i") + random.nextInt(8);
                queue.offer(request("r" + step, FAR_DEADLINE_MILLIS), fingerprint, isSuspect, now);
            }
            for (var next = queue.poll(isSuspect, now); next.isPresent(); next = queue.poll(isSuspect, now)) {
                running.add(next.get().key());
                started++;
            }
            assertThat(queue.chargedFingerprints(now).stream().filter(isSuspect))
                    .hasSizeLessThan(2);
            if (!running.isEmpty() && random.nextInt(4) == 0) {
                queue.finished(running.remove(random.nextInt(running.size())), 10, now);
            }
        }
        assertThat(started).isEqualTo(20);
    }

    /**
     * Guards against a crashing request that is not blocked after two crashes, and against blocking an innocent request
     * that ran at the same time. The innocent requests are retried in random order at the same engine as the crashing
     * request, together with new requests.
     */
    @Property(tries = 500, seed = "22")
    void blocksOnlyTheCrashingRequestAfterTwoCrashes(@ForAll int seed) {
        Random random = new Random(seed);
        CrashRegistry registry = new CrashRegistry(100);
        List<String> arriving = new ArrayList<>(List.of(POISON));
        int number = 0;
        long now = 0;
        for (int crashes = 0; crashes < CrashRegistry.BLOCKING_CRASH_COUNT; crashes++) {
            for (int fresh = random.nextInt(6); fresh > 0; fresh--) {
                arriving.add("innocent-" + number++);
            }
            Collections.shuffle(arriving, random);
            SuspectQueue<String> queue = queue(1 + random.nextInt(8));
            now = runUntilCrash(queue, arriving, registry, random, now);
            Crash crash = new Crash(new UpstreamId("engine-" + crashes), 1, now);
            queue.chargedFingerprints(now).forEach(fingerprint -> registry.add(fingerprint, crash));
        }
        assertThat(registry.isBlocked(POISON, now)).isTrue();
        assertThat(registry.isSuspect(POISON, now)).isTrue();
        for (String innocent : arriving) {
            assertThat(innocent.equals(POISON) || !registry.isBlocked(innocent, now))
                    .isTrue();
            assertThat(innocent.equals(POISON) || !registry.isSuspect(innocent, now))
                    .as("explained by the blocked request")
                    .isTrue();
        }
    }

    /** Runs requests at one engine until the crashing request has crashed it, and returns the time of the crash. */
    private static long runUntilCrash(
            SuspectQueue<String> queue, List<String> arriving, CrashRegistry registry, Random random, long start) {
        Map<String, Long> ends = new HashMap<>();
        long now = start;
        int next = 0;
        while (true) {
            if (now >= ends.getOrDefault(POISON, Long.MAX_VALUE)) {
                return ends.get(POISON);
            }
            long time = now;
            Predicate<String> isSuspect = fingerprint -> registry.isSuspect(fingerprint, time);
            if (next < arriving.size()) {
                String key = arriving.get(next++);
                queue.offer(request(key, FAR_DEADLINE_MILLIS), key, isSuspect, now);
            }
            Optional<WaitingRequest<String>> started = queue.poll(isSuspect, now);
            if (started.isPresent()) {
                int most = started.get().key().equals(POISON) ? (int) CrashAttribution.NEWLY_STARTED_MILLIS : 6_000;
                ends.put(started.get().key(), now + 1 + random.nextInt(most));
            }
            ends.entrySet().removeIf(end -> end.getValue() <= time && queue.finished(end.getKey(), 10, time));
            now += 1 + random.nextInt(100);
        }
    }
}
