package io.oleandermoor.replay;

import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptTracker;
import io.oleandermoor.state.ledger.RetryPermission;
import io.oleandermoor.state.ledger.TrackedRequest;
import io.oleandermoor.state.rate.Reservation;
import io.oleandermoor.state.routing.PromptPrefix;
import io.oleandermoor.state.routing.RouteChoice;
import java.util.Optional;
import java.util.SplittableRandom;

/** One request on its way through an entry and its upstreams. */
final class RequestRun {

    /** Bytes of a token, as in {@code TokenEstimator}'s usual text. */
    private static final int BYTES_PER_TOKEN = 4;

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final long UNKNOWN = -1;

    final TraceEvent.Request request;
    final RequestId id;
    final long arrivedMillis;
    final boolean withinRate;
    final AttemptTracker tracker;
    final PromptPrefix prefix;
    Optional<Reservation> reservation = Optional.empty();
    Optional<RouteChoice> choice = Optional.empty();
    Optional<AttemptKey> attempt = Optional.empty();
    long queueMillis = UNKNOWN;
    long firstTokenMillis = UNKNOWN;
    long dispatchedMillis;
    int runs;
    int answers;

    RequestRun(TraceEvent.Request request, long number, boolean withinRate, RetryPermission permission, long now) {
        this.request = request;
        this.id = new RequestId(0, number);
        this.arrivedMillis = now;
        this.withinRate = withinRate;
        this.tracker = new AttemptTracker(
                new TrackedRequest(id, request.repeatable(), MAXIMUM_ATTEMPTS, deadlineMillis(), 300_000), permission);
        this.prefix = PromptPrefix.of(request.team().value(), prompt(number));
    }

    long deadlineMillis() {
        return arrivedMillis + request.deadlineMillis();
    }

    /** Returns the bound that is reserved; callers allow twice the output that they get. */
    long reservedTokens() {
        return request.promptTokens() + 2L * request.outputTokens();
    }

    /** Returns whether the first token came in time. */
    boolean isAttained() {
        return firstTokenMillis != UNKNOWN && firstTokenMillis <= deadlineMillis();
    }

    boolean hasStarted() {
        return queueMillis != UNKNOWN;
    }

    /** Returns what stands for the hash of the content: only a crashing request is sent again with equal content. */
    String fingerprint() {
        return request.crashes() ? request.team() + "/" + request.model() + "/" + request.prefixGroup() : id.toString();
    }

    private byte[] prompt(long number) {
        byte[] bytes = new byte[request.promptTokens() * BYTES_PER_TOKEN];
        new SplittableRandom(number).nextBytes(bytes);
        byte[] shared = new byte[bytes.length / 2];
        new SplittableRandom(request.prefixGroup()).nextBytes(shared);
        System.arraycopy(shared, 0, bytes, 0, shared.length);
        return bytes;
    }
}
