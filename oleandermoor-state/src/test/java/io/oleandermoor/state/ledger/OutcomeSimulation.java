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
 * Entries, agents, a key-value service and callers that repeat, under virtual time. Messages are lost, repeated and
 * delayed, and processes die. One mechanism can be removed to show that the invariants depend on it.
 */
final class OutcomeSimulation {

    enum Removed {
        NOTHING,
        TOMBSTONE,
        OFFSET_CHECK,
        INCARNATION_CHECK,
        ONCE_RECORD
    }

    enum Kind {
        KEYED,
        WITHOUT_KEY,
        STREAM
    }

    static final int STREAM_TOKENS = 24;

    final List<String> violations = new ArrayList<>();
    int completed;
    int calls;
    final Removed removed;
    final UniformRandomProvider random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final int[] entryLives = new int[2];
    private final Map<String, OnceRead.Present> store = new HashMap<>();
    final Map<RequestId, Integer> runs = new HashMap<>();
    private final List<Call> allCalls = new ArrayList<>();
    private final OnceDecider decider = new OnceDecider(1_000, 100);
    long now;
    private long sequence;

    private record Task(long at, long sequence, Runnable action) {}

    OutcomeSimulation(long seed, Removed removed) {
        this.removed = removed;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < 3; index++) {
            agents.add(new SimulatedAgent(this, index));
        }
    }

    OutcomeSimulation run() {
        for (int index = 0; index < 24; index++) {
            Caller caller = new Caller(Kind.values()[index % 3], "key" + index);
            later(random.nextInt(1500), caller::request);
        }
        for (int index = 0; index < 4; index++) {
            later(random.nextInt(2500), () -> agents.get(random.nextInt(3)).die());
            later(random.nextInt(2500), () -> killEntry(random.nextInt(2)));
        }
        for (Task task = tasks.poll(); task != null; task = tasks.poll()) {
            now = task.at();
            task.action().run();
        }
        check();
        return this;
    }

    void later(long delay, Runnable action) {
        tasks.add(new Task(now + delay, sequence++, action));
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private void send(Runnable delivery) {
        int copies = chance(0.08) ? 0 : chance(0.1) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            later(chance(0.85) ? 1 + random.nextInt(10) : 1 + random.nextInt(300), delivery);
        }
    }

    private void killEntry(int index) {
        entryLives[index]++;
        agents.forEach(agent -> agent.ledger.connectionLost(new InstanceId("entry" + index), now));
    }

    private void check() {
        Map<String, Integer> runsByKey = new HashMap<>();
        for (Call call : allCalls) {
            int count = runs.getOrDefault(call.id, 0);
            if (call.caller.kind != Kind.STREAM) {
                String name = call.caller.kind == Kind.KEYED ? call.caller.name : call.id.toString();
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
            boolean whole = !call.complete || call.caller.kind != Kind.STREAM || tokens == STREAM_TOKENS;
            if (!expected.toString().contentEquals(call.text) || !whole) {
                violations.add(call.id + " has the text " + call.text);
            }
        }
    }

    final class Caller {
        final Kind kind;
        final String name;
        int tries;
        boolean done;

        Caller(Kind kind, String name) {
            this.kind = kind;
            this.name = name;
        }

        void request() {
            if (done || tries++ >= (kind == Kind.KEYED ? 6 : 1)) {
                return;
            }
            Call call = new Call(this, random.nextInt(2));
            allCalls.add(call);
            call.begin();
            later(1_200, this::request);
        }
    }

    /** One request at an entry. Everything is ignored after the entry died. */
    final class Call {
        final RequestId id = new RequestId(0, ++calls);
        final Caller caller;
        final int entry;
        final int life;
        final StringBuilder text = new StringBuilder();
        final AttemptTracker tracker;
        final OnceCall once;
        Outcome outcome = Outcome.UNKNOWN;
        boolean complete;
        boolean running;
        long version;
        SimulatedAgent agent = agents.get(0);
        long incarnation;
        long heardAt;
        int silences;
        AttemptKey key = new AttemptKey(id, 1);

        Call(Caller caller, int entry) {
            this.caller = caller;
            this.entry = entry;
            this.life = entryLives[entry];
            boolean repeatable = caller.kind == Kind.STREAM;
            this.tracker = new AttemptTracker(new TrackedRequest(id, repeatable, 6, now + 700, 1_500), () -> true);
            this.once =
                    new OnceCall("hash", "attempt" + id, new InstanceId("entry" + entry), new UpstreamId("upstream"));
        }

        boolean isAlive() {
            return entryLives[entry] == life;
        }

        void begin() {
            if (caller.kind == Kind.KEYED && removed != Removed.ONCE_RECORD) {
                read();
            } else {
                start();
            }
        }

        void read() {
            OnceRead read = chance(0.05) ? new OnceRead.Unavailable() : current();
            later(1 + random.nextInt(10), () -> {
                if (isAlive()) {
                    on(decider.afterRead(once, read, now), read);
                }
            });
        }

        OnceRead current() {
            OnceRead.Present present = store.get(caller.name);
            return present == null ? new OnceRead.Absent() : present;
        }

        void on(OnceDecision decision, OnceRead read) {
            if (decision instanceof OnceDecision.Create create) {
                write(create.record(), 0, this::afterWrite);
            } else if (decision instanceof OnceDecision.Replace replace) {
                write(replace.record(), replace.version(), this::afterWrite);
            } else if (decision instanceof OnceDecision.ReadBack) {
                read();
            } else if (decision instanceof OnceDecision.Run) {
                version = read instanceof OnceRead.Present present ? present.version() : version;
                start();
            } else if (decision instanceof OnceDecision.Replay) {
                caller.done = true;
            } else if (decision instanceof OnceDecision.RefuseNotRun) {
                outcome = Outcome.NOT_RUN;
            }
        }

        void afterWrite(OnceWrite write) {
            on(decider.afterWrite(write), new OnceRead.Absent());
        }

        /** Writes by compare-and-swap. A lost answer hides whether the write took effect, is late, or failed. */
        void write(OnceRecord record, long expected, Consumer<OnceWrite> then) {
            boolean lost = chance(0.25);
            boolean applied = !lost || chance(0.7);
            OnceWrite[] answer = {OnceWrite.ANSWER_LOST};
            Runnable apply = () -> {
                OnceRead.Present present = store.get(caller.name);
                boolean matches = (present == null ? 0 : present.version()) == expected;
                if (matches) {
                    store.put(caller.name, new OnceRead.Present(record, expected + 1));
                }
                if (!lost) {
                    version = expected + 1;
                    answer[0] = matches ? OnceWrite.APPLIED : OnceWrite.CONFLICT;
                }
            };
            if (applied) {
                later(lost ? random.nextInt(100) : 1, apply);
            }
            later(lost ? 20 : 3, () -> {
                if (isAlive()) {
                    then.accept(answer[0]);
                }
            });
        }

        void start() {
            if (!running) {
                running = true;
                heardAt = now;
                dispatch(Set.of(), 0);
                later(40, this::tick);
                int deadline = chance(0.3) ? 1 + random.nextInt(100) : 700;
                later(deadline, () -> event(new AttemptEvent.DeadlinePassed()));
                later(deadline + 200, () -> event(new AttemptEvent.GracePassed()));
            }
        }

        void dispatch(Set<UpstreamId> excluded, int offset) {
            List<SimulatedAgent> left = agents.stream()
                    .filter(candidate -> !excluded.contains(candidate.id))
                    .toList();
            if (left.isEmpty()) {
                event(new AttemptEvent.NoUpstream(0));
                return;
            }
            agent = left.get(random.nextInt(left.size()));
            incarnation = agent.incarnation;
            silences = 0;
            AttemptKey sent = tracker.begin(agent.id, incarnation, now);
            key = sent;
            toAgent(agent, incarnation, target -> target.dispatch(this, sent, offset));
        }

        void toAgent(SimulatedAgent target, long targetIncarnation, Consumer<SimulatedAgent> message) {
            send(() -> {
                if (target.incarnation == targetIncarnation) {
                    message.accept(target);
                }
            });
        }

        /** Sends on the newest connection, which may lead to a later incarnation than the one that got the attempt. */
        void toCurrent(SimulatedAgent target, Consumer<SimulatedAgent> message) {
            toAgent(target, target.incarnation, message);
        }

        void tick() {
            if (!isAlive() || tracker.isEnded()) {
                return;
            }
            if (now - heardAt >= 40) {
                long seen = removed == Removed.INCARNATION_CHECK ? incarnation : agent.incarnation;
                if (++silences > 5) {
                    event(new AttemptEvent.AgentDead(key));
                } else {
                    event(chance(0.5) ? new AttemptEvent.Silence(key) : new AttemptEvent.Reconnected(key, seen));
                }
            }
            later(40, this::tick);
        }

        void received(AttemptEvent event) {
            send(() -> {
                heardAt = now;
                if (removed == Removed.OFFSET_CHECK
                        && event instanceof AttemptEvent.ChunkArrived arrived
                        && arrived.key().equals(key)
                        && isAlive()) {
                    text.append(arrived.chunk().text());
                    return;
                }
                event(event);
            });
        }

        void event(AttemptEvent event) {
            if (isAlive()) {
                on(tracker.on(event, now));
            }
        }

        void on(AttemptDecision decision) {
            if (decision instanceof AttemptDecision.Forward forward) {
                text.append(forward.chunk().text());
            } else if (decision instanceof AttemptDecision.Query query) {
                toCurrent(agent, to -> to.query(this, query.key()));
            } else if (decision instanceof AttemptDecision.Attach attach) {
                toCurrent(agent, to -> to.attach(this, attach.key(), attach.offset()));
            } else if (decision instanceof AttemptDecision.Cancel cancel) {
                toCurrent(agent, to -> to.cancel(this, cancel.key()));
            } else if (decision instanceof AttemptDecision.Retry retry) {
                SimulatedAgent old = agent;
                retry.cancelled().ifPresent(last -> toCurrent(old, to -> to.cancel(this, last)));
                // Agents may be tried again here, so that requests survive several deaths of few agents.
                dispatch(retry.excluded().size() < 3 ? retry.excluded() : Set.of(), retry.resumeOffset());
            } else if (decision instanceof AttemptDecision.Reply reply) {
                end(reply);
            }
        }

        void end(AttemptDecision.Reply reply) {
            outcome = reply.outcome();
            complete = reply.reason() == AttemptDecision.ReplyReason.COMPLETE;
            completed += complete ? 1 : 0;
            if (outcome == Outcome.RAN) {
                caller.done = true;
            }
            if (caller.kind == Kind.KEYED && removed != Removed.ONCE_RECORD) {
                decider.afterReply(once, reply).ifPresent(record -> store(record, version, 3));
            }
        }

        void store(OnceRecord record, long expected, int tries) {
            write(record, expected, write -> {
                if (write == OnceWrite.ANSWER_LOST && tries > 0) {
                    store(record, expected, tries - 1);
                }
            });
        }
    }
}
