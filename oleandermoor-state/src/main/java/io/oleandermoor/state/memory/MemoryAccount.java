package io.oleandermoor.state.memory;

import io.oleandermoor.state.memory.MemoryDecision.Refuse;
import io.oleandermoor.state.memory.MemoryDecision.RefuseReason;
import io.oleandermoor.state.memory.MemoryDecision.Send;
import io.oleandermoor.state.memory.MemoryDecision.Wait;
import io.oleandermoor.state.memory.MemoryDecision.WaitReason;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Memory account of one engine. Counts the largest set of weights that may be resident, given every order that was
 * lost, late, repeated or reordered. An order counts from the decision to send it, before it is recorded.
 *
 * <p>Weights stop counting only on evidence of absence (a listing without them, or a confirmed unload) whose request
 * was sent after the last order to load them had become unable to take effect. An order becomes unable to take effect
 * when its longest delay has passed or, at an engine that honours fencing numbers, when the engine has executed a
 * request of a later term.
 *
 * <p>Times are milliseconds of one monotonic clock that keeps running while the process is paused. Not safe for use by
 * several threads.
 */
public final class MemoryAccount {

    private final MemorySettings settings;
    private final long term;
    private final long startedMillis;
    private final Map<Weights, Entry> entries = new TreeMap<>(Weights.ORDER);
    private long sequence;
    private boolean reconciled;
    private long lastListingRequestMillis = Long.MIN_VALUE;

    private MemoryAccount(MemorySettings settings, long term, long sequence, long startedMillis) {
        this.settings = settings;
        this.term = term;
        this.sequence = sequence;
        this.startedMillis = startedMillis;
    }

    /**
     * Starts the account of a new agent. The caller writes {@link #record()} by compare-and-swap against the record
     * that it passed here before it sends anything; if that write fails, it starts again from the record then found.
     *
     * @param settings properties of the engine
     * @param previous the record that the upstream's last agent left
     * @param term the fencing number of the new agent, greater than that of the record
     * @param nowMillis a time after the record was read
     * @return the account
     * @throws IllegalArgumentException if the term is not greater than that of the record
     */
    public static MemoryAccount takeOver(MemorySettings settings, OrderRecord previous, long term, long nowMillis) {
        if (term <= previous.term()) {
            throw new IllegalArgumentException(
                    "term " + term + " must be greater than the recorded term " + previous.term());
        }
        MemoryAccount account = new MemoryAccount(settings, term, previous.sequence(), nowMillis);
        for (OrderRecord.Entry recorded : previous.entries()) {
            Entry entry = new Entry(recorded.memoryMegabytes());
            entry.counted = recorded.counted();
            entry.loadTerm = recorded.loadTerm();
            entry.unloadTerm = recorded.unloadTerm();
            entry.loadSentMillis = nowMillis;
            entry.unloadRecordedMillis = nowMillis;
            account.entries.put(recorded.weights(), entry);
        }
        return account;
    }

    /**
     * Decides about loading. May be called again for the same weights when an order seems lost.
     *
     * @param weights what to load
     * @param memoryMegabytes memory that the weights take, in megabytes, positive
     * @param nowMillis the time
     * @return the order to send, or why none may be sent
     */
    public MemoryDecision load(Weights weights, long memoryMegabytes, long nowMillis) {
        if (memoryMegabytes <= 0) {
            throw new IllegalArgumentException("memoryMegabytes must be positive: " + memoryMegabytes);
        }
        if (memoryMegabytes > settings.capacityMegabytes()) {
            return new Refuse(RefuseReason.TOO_LARGE);
        }
        if (!reconciled) {
            return new Wait(WaitReason.NOT_RECONCILED);
        }
        Entry entry = entries.get(weights);
        if (entry != null && entry.unloadTerm != 0 && unloadMayTakeEffect(entry, nowMillis)) {
            return new Wait(WaitReason.UNLOAD_MAY_TAKE_EFFECT);
        }
        if (entry != null && entry.counted && entry.ready) {
            return new Refuse(RefuseReason.ALREADY_LOADED);
        }
        long taken = entry != null && entry.counted ? entry.memoryMegabytes : 0;
        long additional = Math.max(0, memoryMegabytes - taken);
        // Checked for repeated loads too: a late listing can count weights again whose memory was since given away.
        if (worstCaseMegabytes() + additional > settings.capacityMegabytes()) {
            boolean uncertain = entries.values().stream().anyMatch(other -> other.counted && !other.ready);
            return uncertain ? new Wait(WaitReason.MEMORY_UNCERTAIN) : new Refuse(RefuseReason.NO_MEMORY);
        }
        Entry loaded = entries.computeIfAbsent(weights, key -> new Entry(memoryMegabytes));
        loaded.memoryMegabytes = loaded.counted ? Math.max(loaded.memoryMegabytes, memoryMegabytes) : memoryMegabytes;
        loaded.counted = true;
        loaded.ready = false;
        loaded.loadTerm = term;
        loaded.loadRecordedMillis = nowMillis;
        loaded.loadSentMillis = nowMillis;
        loaded.loadSequence = ++sequence;
        loaded.loadSendsInProgress++;
        loaded.unloadTerm = 0;
        return send(Order.Kind.LOAD, weights, loaded, nowMillis);
    }

    /**
     * Decides about unloading. May be called again for the same weights when an order seems lost.
     *
     * @param weights what to unload
     * @param nowMillis the time
     * @return the order to send, or why none may be sent
     */
    public MemoryDecision unload(Weights weights, long nowMillis) {
        if (!reconciled) {
            return new Wait(WaitReason.NOT_RECONCILED);
        }
        Entry entry = entries.get(weights);
        if (entry == null || !entry.counted) {
            return new Refuse(RefuseReason.NOT_LOADED);
        }
        entry.ready = false;
        entry.unloadTerm = term;
        entry.unloadRecordedMillis = nowMillis;
        entry.unloadSequence = ++sequence;
        return send(Order.Kind.UNLOAD, weights, entry, nowMillis);
    }

    private MemoryDecision send(Order.Kind kind, Weights weights, Entry entry, long nowMillis) {
        removeSettledEntries(nowMillis);
        return new Send(new Order(term, sequence, kind, weights, entry.memoryMegabytes), record());
    }

    /**
     * Returns whether an order may still be sent. To be asked immediately before sending, after the record was written.
     * An agent that was paused longer than {@code sendWithinMillis} thereby drops the order.
     *
     * <p>At an engine that ignores fencing numbers, one gap remains: a replaced agent that is paused between this check
     * and the sending for longer than the rest of {@code longestOrderDelayMillis}.
     *
     * @param order an order that this account decided to send
     * @param nowMillis the time
     * @return true if the order is young enough and not superseded
     */
    public boolean isSendAllowed(Order order, long nowMillis) {
        Entry entry = entries.get(order.weights());
        if (entry == null || order.term() != term) {
            return false;
        }
        boolean isLoad = order.kind() == Order.Kind.LOAD;
        long latest = isLoad ? entry.loadSequence : entry.unloadSequence;
        long recordedMillis = isLoad ? entry.loadRecordedMillis : entry.unloadRecordedMillis;
        return latest == order.sequence() && nowMillis - recordedMillis <= settings.sendTimeoutMillis();
    }

    /**
     * Takes in that the sending of an order has ended: the connection has taken it completely, or it was dropped. Until
     * then the order counts as able to take effect, however long the sending thread was paused or blocked. To be called
     * once for each order.
     *
     * @param order an order that this account decided to send
     * @param nowMillis the time
     */
    public void recordSendEnd(Order order, long nowMillis) {
        Entry entry = entries.get(order.weights());
        if (entry != null && order.kind() == Order.Kind.LOAD && order.term() == term) {
            entry.loadSendsInProgress--;
            entry.loadSentMillis = Math.max(entry.loadSentMillis, nowMillis);
        }
    }

    /**
     * Takes in the engine's response to an order. Responses may be late, repeated or missing.
     *
     * @param order the order
     * @param result what the engine reports
     */
    public void applyResult(Order order, OrderResult result) {
        Entry entry = entries.get(order.weights());
        if (entry == null || order.term() != term || result != OrderResult.DONE) {
            return;
        }
        if (order.kind() == Order.Kind.UNLOAD && entry.unloadTerm != 0 && entry.unloadSequence == order.sequence()) {
            recordAbsence(entry, entry.unloadRecordedMillis);
        } else if (order.kind() == Order.Kind.LOAD && entry.loadSequence == order.sequence() && entry.unloadTerm == 0) {
            entry.ready = true;
        }
    }

    /**
     * Takes in a listing. The request carried the own fencing number. Listings older than one already seen, or
     * requested before the account was started, are ignored.
     *
     * @param listing what the engine reports
     * @param requestedMillis when the listing was requested
     */
    public void applyListing(EngineListing listing, long requestedMillis) {
        if (requestedMillis < startedMillis || requestedMillis < lastListingRequestMillis) {
            return;
        }
        lastListingRequestMillis = requestedMillis;
        Map<Weights, EngineListing.Entry> present = new TreeMap<>(Weights.ORDER);
        listing.entries().forEach(entry -> present.put(entry.weights(), entry));
        present.forEach((weights, listed) -> recordPresence(weights, listed, requestedMillis));
        entries.forEach((weights, entry) -> {
            if (!present.containsKey(weights)) {
                recordAbsence(entry, requestedMillis);
            }
        });
        reconciled = true;
        removeSettledEntries(requestedMillis);
    }

    private void recordPresence(Weights weights, EngineListing.Entry listed, long requestedMillis) {
        Entry entry = entries.computeIfAbsent(weights, key -> new Entry(listed.memoryMegabytes()));
        entry.memoryMegabytes = Math.max(entry.memoryMegabytes, listed.memoryMegabytes());
        entry.counted = true;
        if (entry.unloadTerm != 0 && !unloadMayTakeEffect(entry, requestedMillis)) {
            entry.unloadTerm = 0;
        }
        entry.ready = listed.residency() == Residency.READY && entry.unloadTerm == 0;
    }

    private void recordAbsence(Entry entry, long requestedMillis) {
        entry.ready = false;
        if (!loadMayTakeEffect(entry, requestedMillis)) {
            entry.counted = false;
        }
    }

    private boolean loadMayTakeEffect(Entry entry, long nowMillis) {
        if (entry.loadSendsInProgress > 0) {
            return true;
        }
        return entry.loadTerm != 0
                && !settings.fencing().preventsEffect(entry.loadTerm, term)
                && entry.loadSentMillis + settings.maximumOrderDelayMillis() >= nowMillis;
    }

    private boolean unloadMayTakeEffect(Entry entry, long nowMillis) {
        return !settings.fencing().preventsEffect(entry.unloadTerm, term)
                && entry.unloadRecordedMillis + settings.maximumOrderDelayMillis() >= nowMillis;
    }

    private void removeSettledEntries(long nowMillis) {
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            if (!entry.counted && (entry.unloadTerm == 0 || !unloadMayTakeEffect(entry, nowMillis))) {
                iterator.remove();
            }
        }
    }

    /**
     * Returns the largest amount of memory that may be taken.
     *
     * @return megabytes; more than the capacity only if the engine listed weights that no record explains
     */
    public long worstCaseMegabytes() {
        long sum = 0;
        for (Entry entry : entries.values()) {
            sum += entry.counted ? entry.memoryMegabytes : 0;
        }
        return sum;
    }

    /**
     * Returns whether a listing has been received under the own term, so that orders can be sent.
     *
     * @return false after a take-over until the first listing
     */
    public boolean isReconciled() {
        return reconciled;
    }

    /**
     * Returns the state of everything that may be resident. Weights that are neither confirmed ready nor ordered to
     * unload are reported as loading.
     *
     * @return the entries in the order of {@link Weights#ORDER}
     */
    public List<EngineListing.Entry> residents() {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().counted)
                .map(entry -> new EngineListing.Entry(
                        entry.getKey(),
                        entry.getValue().memoryMegabytes,
                        entry.getValue().residency()))
                .sorted(Comparator.comparing(EngineListing.Entry::weights, Weights.ORDER))
                .toList();
    }

    /**
     * Returns the write-ahead record for the present state.
     *
     * @return the record to write to the key-value service
     */
    public OrderRecord record() {
        return new OrderRecord(
                term,
                sequence,
                entries.entrySet().stream()
                        .map(entry -> new OrderRecord.Entry(
                                entry.getKey(),
                                entry.getValue().memoryMegabytes,
                                entry.getValue().counted,
                                entry.getValue().loadTerm,
                                entry.getValue().unloadTerm))
                        .toList());
    }

    /** Knowledge of one piece of weights. A term of 0 means that there is no such order. */
    private static final class Entry {
        private long memoryMegabytes;
        private boolean counted;
        private boolean ready;
        private long loadTerm;
        private long loadRecordedMillis;
        /** When the sending of the last load order ended or, until it has ended, when the order was recorded. */
        private long loadSentMillis;

        private long loadSequence;
        private int loadSendsInProgress;
        private long unloadTerm;
        private long unloadRecordedMillis;
        private long unloadSequence;

        Entry(long memoryMegabytes) {
            this.memoryMegabytes = memoryMegabytes;
        }

        Residency residency() {
            if (unloadTerm != 0) {
                return Residency.UNLOADING;
            }
            return ready ? Residency.READY : Residency.LOADING;
        }
    }
}
