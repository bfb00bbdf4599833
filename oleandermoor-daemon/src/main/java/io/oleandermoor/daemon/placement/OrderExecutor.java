package io.oleandermoor.daemon.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WriteOutcome;
import io.oleandermoor.protocol.mapping.PlacementMessages;
import io.oleandermoor.protocol.message.Step;
import io.oleandermoor.protocol.message.StepGrant;
import io.oleandermoor.protocol.message.StepRequest;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.MemoryAccount;
import io.oleandermoor.state.memory.MemoryDecision;
import io.oleandermoor.state.memory.MemorySettings;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.OrderRecord;
import io.oleandermoor.state.memory.OrderResult;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.StepRequestSchedule;
import io.oleandermoor.transport.client.EngineControl;
import io.oleandermoor.transport.client.EngineControl.Resident;
import io.oleandermoor.transport.client.EngineRefusedException;
import io.oleandermoor.transport.log.LogEvent;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Orders loads and unloads at one engine. Each order is recorded at the key-value service before it is sent, by
 * compare-and-swap against the record that this agent took over, so that of two agents for one engine only the later
 * one can order anything. Safe for use by several threads; its lock has place 8 in the lock order and is not held
 * during calls.
 */
public final class OrderExecutor {

    private static final Logger LOGGER = LogManager.getLogger(OrderExecutor.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Time between two attempts to take the record over. */
    private static final long TAKE_OVER_RETRY_MILLIS = 2_000;

    private final Object lock = new Object();

    private final MemorySettings settings;

    private final KeyValueStore store;

    private final ConditionalWriter writer;

    private final EngineControl control;

    private final LongSupplier nowMillis;

    private final String recordName;

    private final StepRequestSchedule schedule = new StepRequestSchedule();

    private @Nullable MemoryAccount account;

    private long term;

    private long revision;

    private long takeOverAtMillis = Long.MIN_VALUE;

    private long sequence;

    private long requestSentMillis;

    /**
     * Creates an executor that has not taken the engine over.
     *
     * @param settings properties of the engine
     * @param store the key-value service
     * @param writer writes the record
     * @param control sends orders to the engine
     * @param nowMillis the monotonic clock in milliseconds
     */
    public OrderExecutor(
            MemorySettings settings,
            KeyValueStore store,
            ConditionalWriter writer,
            EngineControl control,
            LongSupplier nowMillis) {
        this.settings = settings;
        this.store = store;
        this.writer = writer;
        this.control = control;
        this.nowMillis = nowMillis;
        this.recordName = "upstream/" + settings.upstream() + "/orders";
    }

    /**
     * Returns the fencing number of this agent.
     *
     * @return 0 before the engine was taken over
     */
    public long term() {
        synchronized (lock) {
            return term;
        }
    }

    /**
     * Takes in the engine's listing, and takes the engine over if that has not succeeded yet. May block on the
     * key-value service; called by one thread.
     *
     * @param residents what the engine lists
     * @param requestedMillis when the listing was requested
     */
    public void listed(List<Resident> residents, long requestedMillis) {
        List<EngineListing.Entry> entries =
                residents.stream().map(OrderExecutor::toEntry).toList();
        synchronized (lock) {
            if (account != null) {
                account.applyListing(new EngineListing(entries), requestedMillis);
                return;
            }
            if (nowMillis.getAsLong() < takeOverAtMillis) {
                return;
            }
            takeOverAtMillis = nowMillis.getAsLong() + TAKE_OVER_RETRY_MILLIS;
        }
        takeOver();
    }

    /** Takes in that another process has become the placement owner. */
    public void ownerChanged() {
        synchronized (lock) {
            schedule.ownerChanged();
        }
    }

    /**
     * Returns the request for the placement owner, if one is due and orders are possible.
     *
     * @return the request with everything that takes or may take memory
     */
    public Optional<StepRequest> nextRequest() {
        synchronized (lock) {
            if (account == null || !account.isReconciled()) {
                return Optional.empty();
            }
            List<EngineListing.Entry> residents = account.residents();
            if (!schedule.isDue(residents, nowMillis.getAsLong())) {
                return Optional.empty();
            }
            sequence++;
            requestSentMillis = nowMillis.getAsLong();
            StepRequest.Builder request = StepRequest.newBuilder()
                    .setSequence(sequence)
                    .setUpstream(settings.upstream().value());
            residents.forEach(entry -> request.addResidents(PlacementMessages.toMessage(entry)));
            return Optional.of(request.build());
        }
    }

    /**
     * Takes the owner's answer and carries its steps out, or takes its notification that steps wait.
     *
     * @param grant the answer; one that does not belong to the last request is ignored
     */
    public void accept(StepGrant grant) {
        long validUntilMillis;
        synchronized (lock) {
            if (grant.getStepsWaiting()) {
                schedule.notified();
                return;
            }
            if (!grant.getOwner() || grant.getSequence() != sequence) {
                return;
            }
            schedule.answered(grant.getStepsCount() > 0, nowMillis.getAsLong());
            validUntilMillis = requestSentMillis + grant.getValidMillis();
        }
        if (grant.getStepsCount() > 0) {
            // Steps are recorded one after the other and then run side by side.
            Schedulers.io()
                    .scheduleDirect(() -> grant.getStepsList().forEach(step -> carryOut(step, validUntilMillis)));
        }
    }

    private void carryOut(Step step, long validUntilMillis) {
        Weights weights = PlacementMessages.weights(step.getName(), step.getVersion(), step.getAdapter());
        MemoryDecision decision;
        long expected;
        synchronized (lock) {
            if (account == null || nowMillis.getAsLong() >= validUntilMillis) {
                return;
            }
            decision = step.getLoad()
                    ? account.load(weights, step.getMegabytes(), nowMillis.getAsLong())
                    : account.unload(weights, nowMillis.getAsLong());
            expected = revision;
        }
        if (!(decision instanceof MemoryDecision.Send send)) {
            LogEvent.of("order_not_possible")
                    .with("weights", weights.nameText())
                    .with("decision", decision)
                    .debug(LOGGER);
            return;
        }
        boolean recorded = record(send.record(), expected);
        if (recorded && maySend(send.order(), validUntilMillis)) {
            Schedulers.io().scheduleDirect(() -> send(send.order(), step));
        } else {
            ended(send.order());
        }
    }

    private boolean maySend(Order order, long validUntilMillis) {
        synchronized (lock) {
            long now = nowMillis.getAsLong();
            return account != null && now < validUntilMillis && account.isSendAllowed(order, now);
        }
    }

    private boolean record(OrderRecord record, long expected) {
        try {
            WriteOutcome outcome = writer.write(recordName, expected, write(record), Optional.empty())
                    .blockingGet();
            synchronized (lock) {
                if (outcome.applied()) {
                    revision = outcome.revision();
                } else {
                    LogEvent.of("engine_taken_over_by_other")
                            .with("upstream", settings.upstream())
                            .warn(LOGGER);
                    account = null;
                }
            }
            return outcome.applied();
        } catch (RuntimeException exception) {
            LogEvent.of("order_not_recorded")
                    .with("upstream", settings.upstream())
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
            synchronized (lock) {
                // The write may have taken effect; only a new take-over learns the present revision.
                account = null;
            }
            return false;
        }
    }

    private void send(Order order, Step step) {
        boolean load = order.kind() == Order.Kind.LOAD;
        try {
            if (load && step.getAdapter()) {
                control.loadAdapter(step.getName(), step.getModel(), step.getVersion(), order.term());
            } else if (load) {
                control.loadModel(step.getName(), step.getVersion(), order.term());
            } else if (step.getAdapter()) {
                control.unloadAdapter(step.getName(), order.term());
            } else {
                control.unloadModel(step.getName(), order.term());
            }
            confirmed(order, OrderResult.DONE);
        } catch (EngineRefusedException refused) {
            confirmed(order, OrderResult.REJECTED);
            log(order, String.valueOf(refused.getMessage()));
        } catch (IOException exception) {
            log(order, String.valueOf(exception.getMessage()));
        }
        ended(order);
    }

    private void confirmed(Order order, OrderResult result) {
        synchronized (lock) {
            if (account != null) {
                account.applyResult(order, result);
            }
        }
        log(order, result.name());
    }

    private void ended(Order order) {
        synchronized (lock) {
            if (account != null) {
                account.recordSendEnd(order, nowMillis.getAsLong());
            }
        }
    }

    private void log(Order order, String result) {
        LogEvent.of("order")
                .with("upstream", settings.upstream())
                .with("kind", order.kind())
                .with("weights", order.weights().nameText())
                .with("version", order.weights().version())
                .with("result", result)
                .info(LOGGER);
    }

    private void takeOver() {
        try {
            Optional<VersionedValue> found = store.get(recordName).blockingGet();
            OrderRecord previous = found.isPresent()
                    ? MAPPER.readValue(ConditionalWriter.content(found.get()), OrderRecord.class)
                    : OrderRecord.empty();
            long nextTerm = previous.term() + 1;
            MemoryAccount taken = MemoryAccount.takeOver(settings, previous, nextTerm, nowMillis.getAsLong());
            long expected = found.map(VersionedValue::revision).orElse(KeyValueStore.ABSENT);
            WriteOutcome outcome = writer.write(recordName, expected, write(taken.record()), Optional.empty())
                    .blockingGet();
            if (outcome.applied()) {
                synchronized (lock) {
                    account = taken;
                    term = nextTerm;
                    revision = outcome.revision();
                }
                LogEvent.of("engine_taken_over")
                        .with("upstream", settings.upstream())
                        .with("term", nextTerm)
                        .info(LOGGER);
            }
        } catch (IOException | StoreException | RuntimeException exception) {
            LogEvent.of("engine_not_taken_over")
                    .with("upstream", settings.upstream())
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }

    private static byte[] write(OrderRecord record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a record can always be written as JSON", exception);
        }
    }

    private static EngineListing.Entry toEntry(Resident resident) {
        Residency residency = switch (resident.state()) {
            case "READY" -> Residency.READY;
            case "UNLOADING" -> Residency.UNLOADING;
            default -> Residency.LOADING;
        };
        return new EngineListing.Entry(
                PlacementMessages.weights(resident.name(), resident.version(), resident.adapter()),
                Math.max(1, resident.megabytes()),
                residency);
    }
}
