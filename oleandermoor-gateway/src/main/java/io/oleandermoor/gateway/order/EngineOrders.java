package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.platform.EngineOrder;
import io.oleandermoor.platform.EngineReport;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.residency.EngineView;
import io.oleandermoor.state.residency.PlannedOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The orders to one start of an engine, one at a time. Each order names the number of orders accepted before it, so an
 * order that arrives late is declined once a later one was accepted; an order without an answer is followed by a look
 * at the engine's report. Used on the event loop only.
 */
// Calls end by themselves with an answer or a time-out, and tasks run until the loop ends: neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
final class EngineOrders {

    private static final Logger LOG = LogManager.getLogger(EngineOrders.class);
    /** An adapter takes up to ten milliseconds while the store is not crowded. */
    private static final long ADAPTER_MILLIS = 15;

    /** Time after which a load that was intended is decided anew; longer than an unload waits for its runs. */
    private static final long INTENT_MILLIS = 9_000;

    private static final long REPORT_GAP_MILLIS = 300;
    /** A report describes the engine as it was some hundred milliseconds earlier. */
    private static final long REPORT_LAG_MILLIS = 450;

    /** Orders without an answer in a row after which the engine is asked what it holds, and whether it is there. */
    private static final int UNANSWERED_BEFORE_REPORT = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final EngineClient client;
    private final Told told;
    private final Map<String, Set<String>> models = new HashMap<>();
    private UpstreamInstance instance;
    private long sequence;
    private boolean waitingForAnswer;
    private int unansweredInRow;
    private boolean busy;
    private String incoming = "";
    private boolean roomMade;
    private long incomingUntilMillis;
    private long busyUntilMillis;
    /** Whether only a report can tell what holds; so it is at first, as the number of orders is unknown. */
    private boolean doubtful = true;

    private long reportDueMillis;

    /** Tells others what the engine holds. */
    @FunctionalInterface
    interface Told {

        void tell(Map<String, Set<String>> models);
    }

    /** The holder's name and fencing token. */
    record Term(String holder, long token) {}

    EngineOrders(EventLoop loop, EngineClient client, InstanceState state, Told told) {
        this.loop = loop;
        this.client = client;
        this.told = told;
        this.instance = state.instance();
        state.models().forEach((model, adapters) -> models.put(model, new HashSet<>(adapters)));
    }

    String id() {
        return instance.id();
    }

    long sequence() {
        return sequence;
    }

    /** Takes over what the engine says of itself. */
    void refresh(InstanceState state, long now) {
        UpstreamInstance next = state.instance();
        // An engine describes itself anew when an order is done, which is told earlier than the next look is due.
        if (now > incomingUntilMillis || models.containsKey(incoming)) {
            incoming = "";
            roomMade = false;
        }
        boolean done = busy && !next.models().equals(instance.models());
        instance = next;
        state.ordered(copy(), now);
        if ((doubtful || done || (busy && now >= busyUntilMillis)) && !waitingForAnswer && now >= reportDueMillis) {
            reportDueMillis = now + REPORT_GAP_MILLIS;
            client.report(instance).subscribe(this::reported, cause -> {
                doubtful = true;
                LOG.debug("event=report_failed instance={} cause=\"{}\"", id(), cause.getMessage());
            });
        }
    }

    private void reported(EngineReport report) {
        if (waitingForAnswer) {
            return;
        }
        if (report.orderSequence() < sequence && !doubtful) {
            return;
        }
        doubtful = false;
        unansweredInRow = 0;
        sequence = report.orderSequence();
        if (report.busy()) {
            busy = true;
            return;
        }
        busy = false;
        adopt(report.models());
    }

    private void adopt(Map<String, Set<String>> held) {
        boolean changed = !held.equals(models);
        models.clear();
        held.forEach((model, adapters) -> models.put(model, new HashSet<>(adapters)));
        if (changed) {
            told.tell(copy());
        }
    }

    EngineView view(int load, long now) {
        boolean orderable = !waitingForAnswer && !busy && !doubtful;
        return new EngineView(
                instance.id(),
                instance.failureDomain(),
                orderable,
                copy(),
                load,
                incoming,
                roomMade,
                instance.weightsAtHand());
    }

    private Map<String, Set<String>> copy() {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
        return copy;
    }

    void send(PlannedOrder order, Term term, EngineProfile profile, long now) {
        waitingForAnswer = true;
        if (!order.incoming().isEmpty()) {
            incoming = order.incoming();
            incomingUntilMillis = now + INTENT_MILLIS;
            roomMade = order.unload();
        }
        ModelTarget target = order.target();
        if (order.unload()) {
            // Requests for what is dropped go elsewhere from now on.
            remove(target);
            told.tell(copy());
        }
        EngineOrder wire = new EngineOrder(
                order.unload(), target.model(), target.adapter(), sequence, term.holder(), term.token());
        client.order(instance, wire).subscribe(answer -> answered(order, profile, answer), cause -> {
            LOG.warn("event=order_unanswered instance={} target={} cause=\"{}\"", id(), target, cause.getMessage());
            unanswered(order);
        });
    }

    /**
     * A load that may have been accepted is no reason to wait for a report: the next order names the same number of
     * orders before it, so it is declined if this one was accepted, and this one is declined if it arrives after the
     * next. An unload is counted as done when it is sent, so what the engine holds must be read before its memory is
     * given to another model.
     */
    private void unanswered(PlannedOrder order) {
        unansweredInRow++;
        if (order.unload() || unansweredInRow >= UNANSWERED_BEFORE_REPORT) {
            unclear();
        } else {
            waitingForAnswer = false;
            incoming = "";
            roomMade = false;
        }
    }

    private void unclear() {
        waitingForAnswer = false;
        doubtful = true;
        // Whether the order is carried out is not known, so nothing may count on its model.
        incoming = "";
        roomMade = false;
        reportDueMillis = Timestamp.monotonicNowMillis() + REPORT_LAG_MILLIS;
    }

    private void answered(PlannedOrder order, EngineProfile profile, EngineClient.OrderAnswer answer) {
        waitingForAnswer = false;
        unansweredInRow = 0;
        ModelTarget target = order.target();
        switch (answer) {
            case ACCEPTED, HOLDS -> {
                sequence++;
                if (target.isAdapter()) {
                    adapterDone(order, answer);
                } else {
                    busy = true;
                    ModelProfile model = profile.models().get(target.model());
                    double seconds = model == null || order.unload() ? 0 : model.diskSeconds();
                    busyUntilMillis =
                            Timestamp.monotonicNowMillis() + (long) (seconds * MILLIS_PER_SECOND) + REPORT_LAG_MILLIS;
                }
            }
            default -> {
                LOG.warn(
                        "event=order_declined instance={} target={} answer={} sequence={}",
                        id(),
                        target,
                        answer,
                        sequence);
                unclear();
            }
        }
    }

    private void adapterDone(PlannedOrder order, EngineClient.OrderAnswer answer) {
        if (order.unload()) {
            told.tell(copy());
            return;
        }
        long delay = answer == EngineClient.OrderAnswer.HOLDS ? 0 : ADAPTER_MILLIS;
        // The slot is taken from the start of the load.
        models.computeIfAbsent(order.target().model(), key -> new HashSet<>())
                .add(order.target().adapter());
        loop.schedule(() -> told.tell(copy()), delay, TimeUnit.MILLISECONDS);
    }

    private void remove(ModelTarget target) {
        if (target.isAdapter()) {
            Set<String> adapters = models.get(target.model());
            if (adapters != null) {
                adapters.remove(target.adapter());
            }
        } else {
            models.remove(target.model());
        }
    }
}
