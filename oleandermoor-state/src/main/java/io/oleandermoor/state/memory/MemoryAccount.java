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
 * Memory account of one engine. Tracks the largest set of weights that may be resident, assuming that any order may
 * have been lost, delayed, repeated or reordered. An order is counted from the decision to send it, before it is
 * recorded.
 *
 * <p>Weights remain counted until there is evidence that they are absent: a listing without them or a confirmed unload.
 * The evidence must have been requested at a time when the last order to load the weights could no longer take effect.
 * This is the case when the maximum delay of the order has passed or, if the engine honours fencing numbers, when the
 * engine has executed a request of a later term.
 *
 * <p>Times are milliseconds of a monotonic clock that keeps running while the process is paused. Not thread-safe.
 */
public final class MemoryAccount {

    private final MemorySettings settings;
    private final long term;
    private final long createdMillis;
    private final Map<Weights, Entry> entries = new TreeMap<>(Weights.ORDER);
    private long sequence;
    private boolean reconciled;
    private long lastListingRequestMillis = Long.MIN_VALUE;

    private MemoryAccount(MemorySettings settings, long term, long sequence, long createdMillis) {
        this.settings = settings;
        this.term = term;
        this.sequence = sequence;
        this.createdMillis = createdMillis;
    }

    /**
     * Creates the account of a new agent. Before sending any order, the caller must write {@link #record()} with a
     * compare-and-swap against the previous record. If the write fails, the caller must start again with the record
     * that is then stored.
     *
     * @param settings memory settings of the engine
     * @param previous the record written by the previous agent of the upstream
     * @param term the fencing number of the new agent, greater than the term of the previous record
     * @param nowMillis the time, read after the record was read
     * @return the account
     * @throws IllegalArgumentException if the term is not greater than the term of the previous record
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
     * Decides whether weights may be loaded. May be called again for the same weights if an order appears to be lost.
     *
     * @param weights the weights to load
     * @param memoryMegabytes memory that the weights occupy, in megabytes, positive
     * @param nowMillis the current time
     * @return the order to send, or the reason why none may be sent
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
        long countedMegabytes = entry != null && entry.counted ? entry.memoryMegabytes : 0;
        long additionalMegabytes = Math.max(0, memoryMegabytes - countedMegabytes);
        // Repeated loads are checked too: a late listing can count weights again whose memory has since been
        // reassigned.
        if (worstCaseMegabytes() + additionalMegabytes > settings.capacityMegabytes()) {
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
     * Decides whether weights may be unloaded. May be called again for the same weights if an order appears to be lost.
     *
     * @param weights the weights to unload
     * @param nowMillis the current time
     * @return the order to send, or the reason why none may be sent
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
     * Returns whether an order may still be sent. Must be called immediately before sending, after the record was
     * written. An agent that was paused for longer than {@code sendTimeoutMillis} therefore drops the order.
     *
     * <p>If the engine ignores fencing numbers, one case is not covered: a replaced agent that is paused between this
     * check and the send for longer than the remainder of {@code maximumOrderDelayMillis}.
     *
     * @param order an order that this account decided to send
     * @param nowMillis the current time
     * @return true if the send timeout has not passed and no later order supersedes this one
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
     * Records that sending an order has ended: it was either written to the connection completely or dropped. Until
     * then the order is assumed to be able to take effect, however long the sending thread is paused or blocked. Must
     * be called exactly once per order.
     *
     * @param order an order that this account decided to send
     * @param nowMillis the current time
     */
    public void recordSendEnd(Order order, long nowMillis) {
        Entry entry = entries.get(order.weights());
        if (entry != null && order.kind() == Order.Kind.LOAD && order.term() == term) {
            entry.loadSendsInProgress--;
            entry.loadSentMillis = Math.max(entry.loadSentMillis, nowMillis);
        }
    }

    /**
     * Applies the response of the engine to an order. Responses may be late, repeated or missing.
     *
     * @param order the order
     * @param result the result that the engine reported
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
     * Applies a listing that was requested with the fencing number of this account. A listing that was requested before
     * one already applied, or before the account was created, is ignored.
     *
     * @param listing the listing that the engine reported
     * @param requestedMillis time at which the listing was requested
     */
    public void applyListing(EngineListing listing, long requestedMillis) {
        if (requestedMillis < createdMillis || requestedMillis < lastListingRequestMillis) {
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
     * Returns the maximum amount of memory that may be in use.
     *
     * @return the memory in megabytes; exceeds the capacity only if the engine listed weights that no record accounts
     *     for
     */
    public long worstCaseMegabytes() {
        long sum = 0;
        for (Entry entry : entries.values()) {
            sum += entry.counted ? entry.memoryMegabytes : 0;
        }
        return sum;
    }

    /**
     * Returns whether a listing has been received in the term of this account, so that orders can be sent.
     *
     * @return false from the takeover until the first listing
     */
    public boolean isReconciled() {
        return reconciled;
    }

    /**
     * Returns all weights that may be resident, with their state. Weights that are neither confirmed as ready nor
     * ordered to be unloaded are reported as loading.
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
     * Returns the write-ahead record of the current state.
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

    /** State of one version of a model or adapter. A term of 0 means that there is no such order. */
    private static final class Entry {
        private long memoryMegabytes;
        private boolean counted;
        private boolean ready;
        private long loadTerm;
        private long loadRecordedMillis;
        /**
         * Time at which sending the last load order ended or, while it is still being sent, at which it was recorded.
         */
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
