package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.quarantine.CrashReport;

/**
 * Observes a run of a request at an instance, to tell whether the request ends instances: only a run that began at the
 * beginning and was answered completely shows that it does not. Used on the event loop only.
 */
final class RunEvidence {

    /** Time from which an answer is under way. */
    private static final long UNDER_WAY_MILLIS = 150;
    /** Longer gaps in an answer may be due to its reader, and count as this long. */
    private static final long MAXIMUM_COUNTED_GAP_MILLIS = 1_000;

    private final RequestExchange exchange;
    private final UpstreamInstance instance;
    private final long deadlineMillis;
    private final boolean fromBeginning;
    private boolean begun;
    private long lastPieceMillis;
    private long answeringMillis;

    /**
     * Creates an observation of a run that has not been answered yet.
     *
     * @param exchange the request
     * @param instance the instance
     * @param deadlineMillis the time until which the instance may continue the run
     * @param fromBeginning whether the run starts at the beginning rather than behind an event that another run has
     *     sent
     */
    RunEvidence(RequestExchange exchange, UpstreamInstance instance, long deadlineMillis, boolean fromBeginning) {
        this.exchange = exchange;
        this.instance = instance;
        this.deadlineMillis = deadlineMillis;
        this.fromBeginning = fromBeginning;
    }

    /** Records that a new piece of the answer has arrived. */
    void recordPiece(long nowMillis) {
        answeringMillis = answeringMillisAt(nowMillis);
        lastPieceMillis = nowMillis;
        begun = true;
        if (fromBeginning) {
            exchange.dispatcher().quarantine().recordProgress(exchange.traits(), answeringMillis);
        }
    }

    private long answeringMillisAt(long nowMillis) {
        return begun ? answeringMillis + Math.min(MAXIMUM_COUNTED_GAP_MILLIS, nowMillis - lastPieceMillis) : 0;
    }

    /** Returns whether the answer has gone on for a while. */
    boolean isUnderWay() {
        return answeringMillis >= UNDER_WAY_MILLIS;
    }

    /**
     * Records that the answer has ended as it should.
     *
     * @param delimitedByClose whether the end of the connection was the end of the answer, which a crash may be, too
     */
    void recordAnswer(boolean delimitedByClose) {
        if (delimitedByClose) {
            CrashReport.Suspect suspect = suspect(Timestamp.monotonicNowMillis());
            exchange.dispatcher().crashDetector().answerEndedWithConnection(instance, suspect, this::recordWholeAnswer);
        } else {
            recordWholeAnswer();
        }
    }

    private void recordWholeAnswer() {
        if (fromBeginning) {
            exchange.dispatcher().quarantine().recordAnswer(exchange.traits());
        }
    }

    /**
     * Handles the loss of the connection.
     *
     * @param continuation runs once it is known whether the instance has ended; at once if it has announced its end
     */
    void connectionLost(Runnable continuation) {
        long now = Timestamp.monotonicNowMillis();
        if (exchange.dispatcher().view().instances().isWithdrawn(instance, now)) {
            continuation.run();
        } else {
            exchange.dispatcher().crashDetector().connectionLost(instance, suspect(now), continuation);
        }
    }

    /** Handles that this entry has closed the connection, which the instance may not notice before the deadline. */
    void runAbandoned() {
        CrashReport.Suspect suspect = suspect(Timestamp.monotonicNowMillis());
        exchange.dispatcher().crashDetector().runAbandoned(instance, suspect, deadlineMillis);
    }

    private CrashReport.Suspect suspect(long nowMillis) {
        return new CrashReport.Suspect(
                exchange.admitted().caller().id(), exchange.traits().all(), answeringMillisAt(nowMillis));
    }
}
