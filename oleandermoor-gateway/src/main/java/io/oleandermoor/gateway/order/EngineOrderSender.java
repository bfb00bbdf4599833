package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Moment;
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
final class EngineOrderSender {

    private static final Logger LOG = LogManager.getLogger(EngineOrderSender.class);
    /** An adapter takes up to ten milliseconds while the store is not crowded. */
    private static final long ADAPTER_LOAD_MILLIS = 15;

    /** Time after which a load that was intended is decided anew; longer than an unload waits for its runs. */
    private static final long INCOMING_MODEL_TIMEOUT_MILLIS = 9_000;

    private static final long REPORT_INTERVAL_MILLIS = 300;
    /** A report describes the engine as it was some hundred milliseconds earlier. */
    private static final long REPORT_LAG_MILLIS = 450;

    /** Orders without an answer in a row after which the engine is asked what it holds, and whether it is there. */
    private static final int MAXIMUM_UNANSWERED_ORDERS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final EngineClient client;
    private final ResidentsListener listener;
    private final Map<String, Set<String>> models = new HashMap<>();
    private UpstreamInstance instance;
    private long sequence;
    private boolean waitingForAnswer;
    private int consecutiveUnanswered;
    private boolean busy;
    private String incomingModel = "";
    private boolean memoryFreed;
    private long incomingExpiryMillis;
    private long expectedDoneMillis;
    /** Whether only a report can tell what holds; so it is at first, as the number of orders is unknown. */
    private boolean stateUnknown = true;

    private long nextReportMillis;

    /** Tells others what the engine holds. */
    @FunctionalInterface
    interface ResidentsListener {

        void residentsChanged(Map<String, Set<String>> models);
    }

    /** The holder's name and fencing token. */
    record LeaseHolder(String entry, long fencingToken) {}

    EngineOrderSender(EventLoop loop, EngineClient client, InstanceState state, ResidentsListener told) {
        this.loop = loop;
        this.client = client;
        this.listener = told;
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
        if (now > incomingExpiryMillis || models.containsKey(incomingModel)) {
            incomingModel = "";
            memoryFreed = false;
        }
        boolean done = busy && !next.models().equals(instance.models());
        instance = next;
        state.ordered(copyOfModels(), now);
        if ((stateUnknown || done || (busy && now >= expectedDoneMillis))
                && !waitingForAnswer
                && now >= nextReportMillis) {
            nextReportMillis = now + REPORT_INTERVAL_MILLIS;
            client.report(instance).subscribe(this::handleReport, cause -> {
                stateUnknown = true;
                LOG.debug("event=report_failed instance={} cause=\"{}\"", id(), cause.getMessage());
            });
        }
    }

    private void handleReport(EngineReport report) {
        if (waitingForAnswer) {
            return;
        }
        if (report.orderSequence() < sequence && !stateUnknown) {
            return;
        }
        stateUnknown = false;
        consecutiveUnanswered = 0;
        sequence = report.orderSequence();
        if (report.busy()) {
            busy = true;
            return;
        }
        busy = false;
        replaceModels(report.models());
    }

    private void replaceModels(Map<String, Set<String>> held) {
        boolean changed = !held.equals(models);
        models.clear();
        held.forEach((model, adapters) -> models.put(model, new HashSet<>(adapters)));
        if (changed) {
            listener.residentsChanged(copyOfModels());
        }
    }

    EngineView view(int load, long now) {
        boolean orderable = !waitingForAnswer && !busy && !stateUnknown;
        return new EngineView(
                instance.id(),
                instance.failureDomain(),
                orderable,
                copyOfModels(),
                load,
                incomingModel,
                memoryFreed,
                instance.weightsAtHand());
    }

    private Map<String, Set<String>> copyOfModels() {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
        return copy;
    }

    void send(PlannedOrder order, LeaseHolder term, EngineProfile profile, long now) {
        waitingForAnswer = true;
        if (!order.incomingModel().isEmpty()) {
            incomingModel = order.incomingModel();
            incomingExpiryMillis = now + INCOMING_MODEL_TIMEOUT_MILLIS;
            memoryFreed = order.unload();
        }
        ModelTarget target = order.target();
        if (order.unload()) {
            // Requests for what is dropped go elsewhere from now on.
            remove(target);
            listener.residentsChanged(copyOfModels());
        }
        EngineOrder wire = new EngineOrder(
                order.unload(), target.model(), target.adapter(), sequence, term.entry(), term.fencingToken());
        client.order(instance, wire).subscribe(answer -> handleAnswer(order, profile, answer), cause -> {
            LOG.warn("event=order_unanswered instance={} target={} cause=\"{}\"", id(), target, cause.getMessage());
            handleMissingAnswer(order);
        });
    }

    /**
     * A load that may have been accepted is no reason to wait for a report: the next order names the same number of
     * orders before it, so it is declined if this one was accepted, and this one is declined if it arrives after the
     * next. An unload is counted as done when it is sent, so what the engine holds must be read before its memory is
     * given to another model.
     */
    private void handleMissingAnswer(PlannedOrder order) {
        consecutiveUnanswered++;
        if (order.unload() || consecutiveUnanswered >= MAXIMUM_UNANSWERED_ORDERS) {
            markStateUnknown();
        } else {
            waitingForAnswer = false;
            incomingModel = "";
            memoryFreed = false;
        }
    }

    private void markStateUnknown() {
        waitingForAnswer = false;
        stateUnknown = true;
        // Whether the order is carried out is not known, so nothing may count on its model.
        incomingModel = "";
        memoryFreed = false;
        nextReportMillis = Moment.steadyNow() + REPORT_LAG_MILLIS;
    }

    private void handleAnswer(PlannedOrder order, EngineProfile profile, EngineClient.OrderAnswer answer) {
        waitingForAnswer = false;
        consecutiveUnanswered = 0;
        ModelTarget target = order.target();
        switch (answer) {
            case ACCEPTED, HOLDS -> {
                sequence++;
                if (target.isAdapter()) {
                    handleAcceptedAdapterOrder(order, answer);
                } else {
                    busy = true;
                    ModelProfile model = profile.models().get(target.model());
                    double seconds = model == null || order.unload() ? 0 : model.diskSeconds();
                    expectedDoneMillis = Moment.steadyNow() + (long) (seconds * MILLIS_PER_SECOND) + REPORT_LAG_MILLIS;
                }
            }
            default -> {
                LOG.warn(
                        "event=order_declined instance={} target={} answer={} sequence={}",
                        id(),
                        target,
                        answer,
                        sequence);
                markStateUnknown();
            }
        }
    }

    private void handleAcceptedAdapterOrder(PlannedOrder order, EngineClient.OrderAnswer answer) {
        if (order.unload()) {
            listener.residentsChanged(copyOfModels());
            return;
        }
        long delay = answer == EngineClient.OrderAnswer.HOLDS ? 0 : ADAPTER_LOAD_MILLIS;
        // The slot is taken from the start of the load.
        models.computeIfAbsent(order.target().model(), key -> new HashSet<>())
                .add(order.target().adapter());
        loop.schedule(() -> listener.residentsChanged(copyOfModels()), delay, TimeUnit.MILLISECONDS);
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
