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
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends orders to one incarnation of an engine, one at a time. Each order contains the number of orders accepted before
 * it, so the engine declines a delayed order once it has accepted a later one. If orders remain unanswered, the state
 * of the engine is read from its report. Must be used on the event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
final class EngineOrderSender {

    private static final Logger LOG = LogManager.getLogger(EngineOrderSender.class);
    /** Assumed duration of an adapter load, which takes up to ten milliseconds while the store is not overloaded. */
    private static final long ADAPTER_LOAD_MILLIS = 15;

    /** Time after which an intended load is planned again; longer than an unload waits for running requests to end. */
    private static final long INCOMING_MODEL_TIMEOUT_MILLIS = 9_000;

    private static final long REPORT_INTERVAL_MILLIS = 300;
    /** Time until a report reflects a change; it describes the engine as it was some hundred milliseconds earlier. */
    private static final long REPORT_LAG_MILLIS = 450;

    /** Consecutive unanswered orders after which a report must show what the engine holds and that it is reachable. */
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
    private List<String> remainingVictims = List.of();
    private long incomingExpiryMillis;
    private long expectedDoneMillis;
    /** Whether a report is needed to know the state; initially true, as the number of accepted orders is unknown. */
    private boolean stateUnknown = true;

    private long nextReportMillis;

    /** Receives changes of the models and adapters that the engine holds. */
    @FunctionalInterface
    interface ResidentsListener {

        void residentsChanged(Map<String, Set<String>> models);
    }

    /**
     * The entry that holds the order lease.
     *
     * @param entry its name
     * @param fencingToken its fencing token
     * @param permit returns whether it may send an order now, and records that it does
     */
    record LeaseHolder(String entry, long fencingToken, BooleanSupplier permit) {}

    EngineOrderSender(EventLoop loop, EngineClient client, InstanceState state, ResidentsListener listener) {
        this.loop = loop;
        this.client = client;
        this.listener = listener;
        this.instance = state.instance();
        state.models().forEach((model, adapters) -> models.put(model, new HashSet<>(adapters)));
    }

    String id() {
        return instance.id();
    }

    long sequence() {
        return sequence;
    }

    /** Updates the state from the engine's own description and requests a report if needed. */
    void refresh(InstanceState state, long now) {
        UpstreamInstance updated = state.instance();
        // An engine publishes a new description when an order is done. It arrives before the next report is due.
        if (now > incomingExpiryMillis || models.containsKey(incomingModel)) {
            clearIncomingModel();
        }
        boolean orderDone = busy && !updated.models().equals(instance.models());
        instance = updated;
        state.updateOrderedModels(copyOfModels(), now);
        if ((stateUnknown || orderDone || (busy && now >= expectedDoneMillis))
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

    private void replaceModels(Map<String, Set<String>> newModels) {
        boolean changed = !newModels.equals(models);
        models.clear();
        newModels.forEach((model, adapters) -> models.put(model, new HashSet<>(adapters)));
        if (changed) {
            listener.residentsChanged(copyOfModels());
        }
    }

    EngineView view(int load, long now) {
        boolean readyForOrder = !waitingForAnswer && !busy && !stateUnknown;
        return new EngineView(
                instance.id(),
                instance.failureDomain(),
                readyForOrder,
                copyOfModels(),
                load,
                incomingModel,
                memoryFreed,
                instance.modelsWithLocalWeights(),
                remainingVictims.stream().filter(models::containsKey).toList());
    }

    private void clearIncomingModel() {
        incomingModel = "";
        memoryFreed = false;
        remainingVictims = List.of();
    }

    private Map<String, Set<String>> copyOfModels() {
        Map<String, Set<String>> copy = new HashMap<>();
        models.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
        return copy;
    }

    void send(PlannedOrder order, LeaseHolder leaseHolder, EngineProfile profile, long now) {
        waitingForAnswer = true;
        if (!order.incomingModel().isEmpty()) {
            incomingModel = order.incomingModel();
            incomingExpiryMillis = now + INCOMING_MODEL_TIMEOUT_MILLIS;
            memoryFreed = order.unload();
            remainingVictims = order.remainingVictims();
        }
        ModelTarget target = order.target();
        if (order.unload()) {
            // From now on, requests for the unloaded target are sent to other engines.
            remove(target);
            listener.residentsChanged(copyOfModels());
        }
        EngineOrder message = new EngineOrder(
                order.unload(),
                target.model(),
                target.adapter(),
                sequence,
                leaseHolder.entry(),
                leaseHolder.fencingToken());
        client.order(instance, message, leaseHolder.permit())
                .subscribe(answer -> handleAnswer(order, profile, answer), cause -> {
                    LOG.warn(
                            "event=order_unanswered instance={} target={} cause=\"{}\"",
                            id(),
                            target,
                            cause.getMessage());
                    handleMissingAnswer(order);
                });
    }

    /**
     * Handles an order without an answer. A load requires no report, even though it may have been accepted: the next
     * order contains the same number of accepted orders, so the engine accepts only one of the two. An unload counts as
     * done when it is sent, so the state of the engine must be read before its memory is used for another model.
     */
    private void handleMissingAnswer(PlannedOrder order) {
        consecutiveUnanswered++;
        if (order.unload() || consecutiveUnanswered >= MAXIMUM_UNANSWERED_ORDERS) {
            markStateUnknown();
        } else {
            waitingForAnswer = false;
            clearIncomingModel();
        }
    }

    private void markStateUnknown() {
        waitingForAnswer = false;
        stateUnknown = true;
        // Whether the order is carried out is unknown, so its model must not be relied on.
        clearIncomingModel();
        nextReportMillis = Timestamp.monotonicNowMillis() + REPORT_LAG_MILLIS;
    }

    private void handleAnswer(PlannedOrder order, EngineProfile profile, EngineClient.OrderResult answer) {
        waitingForAnswer = false;
        consecutiveUnanswered = 0;
        ModelTarget target = order.target();
        switch (answer) {
            case ACCEPTED, ALREADY_APPLIED -> {
                sequence++;
                if (target.isAdapter()) {
                    handleAcceptedAdapterOrder(order, answer);
                } else {
                    busy = true;
                    ModelProfile model = profile.models().get(target.model());
                    double loadSeconds = model == null || order.unload() ? 0 : model.diskLoadSeconds();
                    expectedDoneMillis = Timestamp.monotonicNowMillis()
                            + (long) (loadSeconds * MILLIS_PER_SECOND)
                            + REPORT_LAG_MILLIS;
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

    private void handleAcceptedAdapterOrder(PlannedOrder order, EngineClient.OrderResult answer) {
        if (order.unload()) {
            listener.residentsChanged(copyOfModels());
            return;
        }
        long delayMillis = answer == EngineClient.OrderResult.ALREADY_APPLIED ? 0 : ADAPTER_LOAD_MILLIS;
        // The adapter slot is occupied from the start of the load.
        models.computeIfAbsent(order.target().model(), key -> new HashSet<>())
                .add(order.target().adapter());
        loop.schedule(() -> listener.residentsChanged(copyOfModels()), delayMillis, TimeUnit.MILLISECONDS);
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
