package io.oleandermoor.coordination.membership;

import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The processes that this process knows. A record stays until a newer one comes, the process says that it is gone, or a
 * suspicion that it does not answer stands for {@link #EXPIRY_MILLIS} without a newer record or an answer. There are no
 * periodic records, because 4,940 processes could not afford them at 2 KB/s each.
 *
 * <p>Thread-safe. The lock has position 2 in the lock order. The caller acts on the returned events outside all locks.
 */
public final class MembershipTable {

    /** A suspicion and its refutation each take up to 6 s to reach all of 4,940 processes with 10% loss. */
    static final long EXPIRY_MILLIS = 15_000;

    /** An ended process is remembered for this long, so that an old record does not bring it back. */
    static final long REMEMBERED_MILLIS = 3_600_000;

    private static final long PROBE_INTERVAL_MILLIS = 5_000;

    private final Object lock = new Object();
    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private MemberRecord own;

    /**
     * Creates a table that knows only this process.
     *
     * @param own the first record of this process
     */
    public MembershipTable(MemberRecord own) {
        this.own = own;
        entries.put(own.instance(), new Entry(own));
    }

    /**
     * Returns the present record of this process.
     *
     * @return the record
     */
    public MemberRecord own() {
        synchronized (lock) {
            return own;
        }
    }

    /**
     * Changes the record of this process.
     *
     * @param status the status
     * @param agent the upstream, if this process is an agent
     * @return the next record, to be disseminated
     */
    public MemberRecord updateOwn(MemberStatus status, Optional<AgentDetail> agent) {
        synchronized (lock) {
            setOwn(own.next(status, agent));
            return own;
        }
    }

    /**
     * Handles a record that came as an item or on a connection.
     *
     * @param received the record
     * @param nowMillis the present
     * @return what to do
     */
    public List<MembershipEvent> receive(MemberRecord received, long nowMillis) {
        synchronized (lock) {
            if (received.instance().equals(own.instance())) {
                return receiveOwn(received);
            }
            @Nullable Entry known = entries.get(received.instance());
            if (known != null && !received.isNewerThan(known.member)) {
                return List.of();
            }
            Entry entry = new Entry(received);
            entries.put(received.instance(), entry);
            if (received.status() == MemberStatus.GONE) {
                entry.endedMillis = Optional.of(nowMillis);
                return known == null || known.isEnded() ? List.of() : List.of(new MembershipEvent.Ended(received));
            }
            return List.of(new MembershipEvent.Changed(received));
        }
    }

    /**
     * Handles a suspicion that came as an item.
     *
     * @param suspicion the suspicion
     * @param nowMillis the present
     * @return what to do
     */
    public List<MembershipEvent> receive(Suspicion suspicion, long nowMillis) {
        synchronized (lock) {
            if (suspicion.instance().equals(own.instance())) {
                if (suspicion.version() < own.version() || own.status() == MemberStatus.GONE) {
                    return List.of();
                }
                setOwn(own.next(own.status(), own.agent()));
                return List.of(new MembershipEvent.Refute(own));
            }
            @Nullable Entry entry = entries.get(suspicion.instance());
            if (entry == null || entry.isEnded() || suspicion.version() < entry.member.version()) {
                return List.of();
            }
            if (entry.suspectedMillis.isEmpty()) {
                entry.suspectedMillis = Optional.of(nowMillis);
            }
            return List.of();
        }
    }

    /**
     * Records that a process did not answer an exchange, a probe or a new connection.
     *
     * @param instance the process
     * @param nowMillis the present
     * @return a probe the first time, a suspicion to publish the second time
     */
    public List<MembershipEvent> unanswered(InstanceId instance, long nowMillis) {
        synchronized (lock) {
            @Nullable Entry entry = entries.get(instance);
            if (entry == null || entry.isEnded() || instance.equals(own.instance())) {
                return List.of();
            }
            if (entry.unanswered == 0) {
                entry.unanswered = 1;
                return probe(entry, nowMillis);
            }
            if (entry.suspectedMillis.isPresent()) {
                return List.of();
            }
            entry.suspectedMillis = Optional.of(nowMillis);
            return List.of(new MembershipEvent.Publish(new Suspicion(instance, entry.member.version())));
        }
    }

    /**
     * Records that a process answered this process. It does not end by a suspicion that began earlier, and it returns
     * if it has ended by a suspicion, such as one from the time of a partition.
     *
     * @param instance the process
     * @return the process that returned, if any
     */
    public List<MembershipEvent> answered(InstanceId instance) {
        synchronized (lock) {
            @Nullable Entry entry = entries.get(instance);
            if (entry == null || entry.member.status() == MemberStatus.GONE) {
                return List.of();
            }
            boolean returned = entry.isEnded();
            entry.unanswered = 0;
            entry.suspectedMillis = Optional.empty();
            entry.endedMillis = Optional.empty();
            return returned ? List.of(new MembershipEvent.Changed(entry.member)) : List.of();
        }
    }

    /**
     * Merges the platform's instance list. The list lags, so it is only a hint: a process that it does not show, or
     * shows as leaving, is probed. Only a process that does not answer ends.
     *
     * @param live the live instances of the list
     * @param nowMillis the present
     * @return the probes
     */
    public List<MembershipEvent> mergeInstanceList(Set<InstanceId> live, long nowMillis) {
        synchronized (lock) {
            List<MembershipEvent> events = new ArrayList<>();
            for (Entry entry : entries.values()) {
                InstanceId instance = entry.member.instance();
                if (!entry.isEnded() && !instance.equals(own.instance()) && !live.contains(instance)) {
                    events.addAll(probe(entry, nowMillis));
                }
            }
            return events;
        }
    }

    /**
     * Ends processes whose suspicion stood for too long. To be called each second.
     *
     * @param nowMillis the present
     * @return the ended processes
     */
    public List<MembershipEvent> tick(long nowMillis) {
        synchronized (lock) {
            List<MembershipEvent> events = new ArrayList<>();
            for (Entry entry : entries.values()) {
                if (entry.isEnded() || entry.suspectedMillis.isEmpty()) {
                    continue;
                }
                if (nowMillis - entry.suspectedMillis.get() >= EXPIRY_MILLIS) {
                    entry.endedMillis = Optional.of(nowMillis);
                    events.add(new MembershipEvent.Ended(entry.member));
                }
            }
            entries.values()
                    .removeIf(entry -> entry.endedMillis
                            .filter(ended -> nowMillis - ended >= REMEMBERED_MILLIS)
                            .isPresent());
            return events;
        }
    }

    /**
     * Returns a process.
     *
     * @param instance its instance
     * @return the newest record, or empty if it is unknown or ended
     */
    public Optional<MemberRecord> member(InstanceId instance) {
        synchronized (lock) {
            return Optional.ofNullable(entries.get(instance))
                    .filter(entry -> !entry.isEnded())
                    .map(entry -> entry.member);
        }
    }

    /**
     * Returns all processes that have not ended, with this process.
     *
     * @return a copy, in no particular order
     */
    public Collection<MemberRecord> members() {
        synchronized (lock) {
            return entries.values().stream()
                    .filter(entry -> !entry.isEnded())
                    .map(entry -> entry.member)
                    .toList();
        }
    }

    /** Another process has used a later record of this instance, for example before a restart with a clock set back. */
    private List<MembershipEvent> receiveOwn(MemberRecord received) {
        if (!received.isNewerThan(own)) {
            return List.of();
        }
        MemberRecord overtaking = new MemberRecord(
                own.instance(),
                own.role(),
                own.peerAddress(),
                own.domain(),
                received.incarnation() + 1,
                1,
                own.status(),
                own.agent());
        setOwn(overtaking);
        return List.of(new MembershipEvent.Refute(overtaking));
    }

    private void setOwn(MemberRecord next) {
        own = next;
        entries.put(next.instance(), new Entry(next));
    }

    private static List<MembershipEvent> probe(Entry entry, long nowMillis) {
        if (entry.probedMillis
                .filter(probed -> nowMillis - probed < PROBE_INTERVAL_MILLIS)
                .isPresent()) {
            return List.of();
        }
        entry.probedMillis = Optional.of(nowMillis);
        return List.of(new MembershipEvent.Probe(entry.member.instance()));
    }

    private static final class Entry {
        private final MemberRecord member;
        private Optional<Long> suspectedMillis = Optional.empty();
        private Optional<Long> endedMillis = Optional.empty();
        private Optional<Long> probedMillis = Optional.empty();
        private int unanswered;

        Entry(MemberRecord member) {
            this.member = member;
        }

        boolean isEnded() {
            return endedMillis.isPresent();
        }
    }
}
