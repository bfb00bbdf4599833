package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates entries, agents, a key-value service and callers that retry, in virtual time. Messages are lost, duplicated
 * and delayed, and processes crash. One mechanism can be disabled to show that the invariants depend on it.
 */
final class OutcomeSimulation {

    enum DisabledMechanism {
        NOTHING,
        TOMBSTONE,
        OFFSET_CHECK,
        INCARNATION_CHECK,
        ONCE_RECORD
    }

    enum CallKind {
        KEYED,
        WITHOUT_KEY,
        STREAM
    }

    static final int STREAM_TOKENS = 24;

    final List<String> violations = new ArrayList<>();
    int completedCount;
    int callCount;
    final DisabledMechanism disabled;
    final UniformRandomProvider random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final int[] entryIncarnations = new int[2];
    private final Map<String, IdempotencyReadResult.Present> storedRecords = new HashMap<>();
    final Map<RequestId, Integer> runCounts = new HashMap<>();
    private final List<Call> allCalls = new ArrayList<>();
    private final IdempotencyDecider decider = new IdempotencyDecider(1_000, 100);
    long now;
    private long sequence;

    private record Task(long at, long sequence, Runnable action) {}

    OutcomeSimulation(long seed, DisabledMechanism disabled) {
        this.disabled = disabled;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < 3; index++) {
            agents.add(new SimulatedAgent(this, index));
        }
    }

    OutcomeSimulation run() {
        for (int index = 0; index < 24; index++) {
            Caller caller = new Caller(CallKind.values()[index % 3], "key" + index);
            schedule(random.nextInt(1500), caller::sendRequest);
        }
        for (int index = 0; index < 4; index++) {
            schedule(random.nextInt(2500), () -> agents.get(random.nextInt(3)).restart());
            schedule(random.nextInt(2500), () -> restartEntry(random.nextInt(2)));
        }
        for (Task task = tasks.poll(); task != null; task = tasks.poll()) {
            now = task.at();
            task.action().run();
        }
        checkInvariants();
        return this;
    }

    void schedule(long delay, Runnable action) {
        tasks.add(new Task(now + delay, sequence++, action));
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private void send(Runnable delivery) {
        int copyCount = chance(0.08) ? 0 : chance(0.1) ? 2 : 1;
        for (int copy = 0; copy < copyCount; copy++) {
            schedule(chance(0.85) ? 1 + random.nextInt(10) : 1 + random.nextInt(300), delivery);
        }
    }

    private void restartEntry(int index) {
        entryIncarnations[index]++;
        agents.forEach(agent -> agent.ledger.connectionLost(new InstanceId("entry" + index), now));
    }

    private void checkInvariants() {
        Map<String, Integer> runsByKey = new HashMap<>();
        for (Call call : allCalls) {
            int count = runCounts.getOrDefault(call.id, 0);
            if (call.caller.kind != CallKind.STREAM) {
                String name = call.caller.kind == CallKind.KEYED ? call.caller.name : call.id.toString();
                if (runsByKey.merge(name, count, Integer::sum) > 1) {
                    violations.add(name + " ran more than once");
                }
            }
            if (call.outcome == Outcome.NOT_RUN && count > 0) {
                violations.add(call.id + " was reported as not run but ran");
            }
            if (call.outcome == Outcome.RAN && count == 0) {
                violations.add(call.id + " was reported as run but did not run");
            }
            StringBuilder expected = new StringBuilder();
            int tokens = (int)
                    call.text.chars().filter(character -> character == ';').count();
            for (int token = 0; token < tokens; token++) {
                expected.append(token).append(';');
            }
            boolean textComplete = !call.complete || call.caller.kind != CallKind.STREAM || tokens == STREAM_TOKENS;
            if (!expected.toString().contentEquals(call.text) || !textComplete) {
                violations.add(call.id + " received incorrect text " + call.text);
            }
        }
    }

    final class Caller {
        final CallKind kind;
        final String name;
        int requestCount;
        boolean done;

        Caller(CallKind kind, String name) {
            this.kind = kind;
            this.name = name;
        }

        void sendRequest() {
            if (done || requestCount++ >= (kind == CallKind.KEYED ? 6 : 1)) {
                return;
            }
            Call call = new Call(this, random.nextInt(2));
            allCalls.add(call);
            call.begin();
            schedule(1_200, this::sendRequest);
        }
    }

    /** One request at an entry. All events are ignored after the entry has crashed. */
    final class Call {
        final RequestId id = new RequestId(0, ++callCount);
        final Caller caller;
        final int entry;
        final int entryIncarnation;
        final StringBuilder text = new StringBuilder();
        final AttemptTracker tracker;
        final KeyedCall keyedCall;
        Outcome outcome = Outcome.UNKNOWN;
        boolean complete;
        boolean running;
        long version;
        SimulatedAgent agent = agents.get(0);
        long incarnation;
        long lastReceivedAt;
        int receiveTimeouts;
        AttemptKey key = new AttemptKey(id, 1);

        Call(Caller caller, int entry) {
            this.caller = caller;
            this.entry = entry;
            this.entryIncarnation = entryIncarnations[entry];
            boolean repeatable = caller.kind == CallKind.STREAM;
            this.tracker = new AttemptTracker(new TrackedRequest(id, repeatable, 6, now + 700, 1_500), () -> true);
            this.keyedCall =
                    new KeyedCall("hash", "attempt" + id, new InstanceId("entry" + entry), new UpstreamId("upstream"));
        }

        boolean isAlive() {
            return entryIncarnations[entry] == entryIncarnation;
        }

        void begin() {
            if (caller.kind == CallKind.KEYED && disabled != DisabledMechanism.ONCE_RECORD) {
                read();
            } else {
                start();
            }
        }

        void read() {
            IdempotencyReadResult read = chance(0.05) ? new IdempotencyReadResult.Unavailable() : readStoredRecord();
            schedule(1 + random.nextInt(10), () -> {
                if (isAlive()) {
                    applyDecision(decider.afterRead(keyedCall, read, now), read);
                }
            });
        }

        IdempotencyReadResult readStoredRecord() {
            IdempotencyReadResult.Present present = storedRecords.get(caller.name);
            return present == null ? new IdempotencyReadResult.Absent() : present;
        }

        void applyDecision(IdempotencyDecision decision, IdempotencyReadResult read) {
            if (decision instanceof IdempotencyDecision.Create create) {
                write(create.record(), 0, this::afterWrite);
            } else if (decision instanceof IdempotencyDecision.Replace replace) {
                write(replace.record(), replace.version(), this::afterWrite);
            } else if (decision instanceof IdempotencyDecision.ReadBack) {
                read();
            } else if (decision instanceof IdempotencyDecision.Run) {
                version = read instanceof IdempotencyReadResult.Present present ? present.version() : version;
                start();
            } else if (decision instanceof IdempotencyDecision.Replay) {
                caller.done = true;
            } else if (decision instanceof IdempotencyDecision.RefuseNotRun) {
                outcome = Outcome.NOT_RUN;
            }
        }

        void afterWrite(IdempotencyWriteResult write) {
            applyDecision(decider.afterWrite(write), new IdempotencyReadResult.Absent());
        }

        /** Writes by compare-and-swap. If the response is lost, the write is applied, applied late or not applied. */
        void write(IdempotencyRecord record, long expectedVersion, Consumer<IdempotencyWriteResult> listener) {
            boolean lost = chance(0.25);
            boolean applied = !lost || chance(0.7);
            IdempotencyWriteResult[] result = {IdempotencyWriteResult.ANSWER_LOST};
            Runnable apply = () -> {
                IdempotencyReadResult.Present present = storedRecords.get(caller.name);
                boolean matches = (present == null ? 0 : present.version()) == expectedVersion;
                if (matches) {
                    storedRecords.put(caller.name, new IdempotencyReadResult.Present(record, expectedVersion + 1));
                }
                if (!lost) {
                    version = expectedVersion + 1;
                    result[0] = matches ? IdempotencyWriteResult.APPLIED : IdempotencyWriteResult.CONFLICT;
                }
            };
            if (applied) {
                schedule(lost ? random.nextInt(100) : 1, apply);
            }
            schedule(lost ? 20 : 3, () -> {
                if (isAlive()) {
                    listener.accept(result[0]);
                }
            });
        }

        void start() {
            if (!running) {
                running = true;
                lastReceivedAt = now;
                dispatch(Set.of(), 0);
                schedule(40, this::tick);
                int deadline = chance(0.3) ? 1 + random.nextInt(100) : 700;
                schedule(deadline, () -> handleEvent(new AttemptEvent.DeadlineExceeded()));
                schedule(deadline + 200, () -> handleEvent(new AttemptEvent.CancelTimeout()));
            }
        }

        void dispatch(Set<UpstreamId> excluded, int offset) {
            List<SimulatedAgent> candidates = agents.stream()
                    .filter(candidate -> !excluded.contains(candidate.id))
                    .toList();
            if (candidates.isEmpty()) {
                handleEvent(new AttemptEvent.NoUpstream(0));
                return;
            }
            agent = candidates.get(random.nextInt(candidates.size()));
            incarnation = agent.incarnation;
            receiveTimeouts = 0;
            AttemptKey sent = tracker.begin(agent.id, incarnation, now);
            key = sent;
            sendToAgent(agent, incarnation, target -> target.dispatch(this, sent, offset));
        }

        void sendToAgent(SimulatedAgent target, long targetIncarnation, Consumer<SimulatedAgent> message) {
            send(() -> {
                if (target.incarnation == targetIncarnation) {
                    message.accept(target);
                }
            });
        }

        /** Sends to the current incarnation, which may be later than the one that received the attempt. */
        void sendToCurrentIncarnation(SimulatedAgent target, Consumer<SimulatedAgent> message) {
            sendToAgent(target, target.incarnation, message);
        }

        void tick() {
            if (!isAlive() || tracker.isEnded()) {
                return;
            }
            if (now - lastReceivedAt >= 40) {
                long reportedIncarnation =
                        disabled == DisabledMechanism.INCARNATION_CHECK ? incarnation : agent.incarnation;
                if (++receiveTimeouts > 5) {
                    handleEvent(new AttemptEvent.AgentDead(key));
                } else {
                    handleEvent(
                            chance(0.5)
                                    ? new AttemptEvent.ReceiveTimeout(key)
                                    : new AttemptEvent.Reconnected(key, reportedIncarnation));
                }
            }
            schedule(40, this::tick);
        }

        void received(AttemptEvent event) {
            send(() -> {
                lastReceivedAt = now;
                if (disabled == DisabledMechanism.OFFSET_CHECK
                        && event instanceof AttemptEvent.ChunkReceived chunkReceived
                        && chunkReceived.key().equals(key)
                        && isAlive()) {
                    text.append(chunkReceived.chunk().text());
                    return;
                }
                handleEvent(event);
            });
        }

        void handleEvent(AttemptEvent event) {
            if (isAlive()) {
                applyDecision(tracker.onEvent(event, now));
            }
        }

        void applyDecision(AttemptDecision decision) {
            if (decision instanceof AttemptDecision.Forward forward) {
                text.append(forward.chunk().text());
            } else if (decision instanceof AttemptDecision.Query query) {
                sendToCurrentIncarnation(agent, target -> target.query(this, query.key()));
            } else if (decision instanceof AttemptDecision.Attach attach) {
                sendToCurrentIncarnation(agent, target -> target.attach(this, attach.key(), attach.offset()));
            } else if (decision instanceof AttemptDecision.Cancel cancel) {
                sendToCurrentIncarnation(agent, target -> target.cancel(this, cancel.key()));
            } else if (decision instanceof AttemptDecision.Retry retry) {
                SimulatedAgent previous = agent;
                retry.cancelled()
                        .ifPresent(
                                attempt -> sendToCurrentIncarnation(previous, target -> target.cancel(this, attempt)));
                // After all agents were tried, they are candidates again, so that requests survive several restarts of
                // few agents.
                dispatch(retry.excluded().size() < 3 ? retry.excluded() : Set.of(), retry.resumeOffset());
            } else if (decision instanceof AttemptDecision.Reply reply) {
                end(reply);
            }
        }

        void end(AttemptDecision.Reply reply) {
            outcome = reply.outcome();
            complete = reply.reason() == AttemptDecision.ReplyReason.COMPLETE;
            completedCount += complete ? 1 : 0;
            if (outcome == Outcome.RAN) {
                caller.done = true;
            }
            if (caller.kind == CallKind.KEYED && disabled != DisabledMechanism.ONCE_RECORD) {
                decider.afterReply(keyedCall, reply).ifPresent(record -> writeFinalRecord(record, version, 3));
            }
        }

        void writeFinalRecord(IdempotencyRecord record, long expectedVersion, int retriesLeft) {
            write(record, expectedVersion, write -> {
                if (write == IdempotencyWriteResult.ANSWER_LOST && retriesLeft > 0) {
                    writeFinalRecord(record, expectedVersion, retriesLeft - 1);
                }
            });
        }
    }
}
