package io.oleandermoor.gateway.peer;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import io.oleandermoor.protocol.message.EngineResidents;
import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.InstanceLoad;
import io.oleandermoor.protocol.message.ReportKind;
import io.oleandermoor.protocol.message.TargetDemand;
import io.oleandermoor.protocol.message.TraitQuarantine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Builds a report from its entries, in as many parts as its maximum size requires. Each part of a full report covers a
 * range of the hashes of instances, so that it can be applied without the others. A single item above the maximum size
 * gets a part of its own. Used on the event loop only.
 */
final class ReportParts {

    /** Size of the tags and lengths of the lists, and of the covered range. */
    private static final int RESERVED_BYTES = 48;
    /** Size of the tag and the length of a nested message. */
    private static final int MESSAGE_OVERHEAD_BYTES = 4;
    /** Size of the tags and lengths of an entry of a map, and of its value. */
    private static final int MAP_ENTRY_OVERHEAD_BYTES = 16;

    private final EntryReport header;
    private final int maximumBytes;
    private final int emptyBytes;
    private final NameHashes instanceNames;
    private final NameHashes teamNames;
    private final List<EntryReport> parts = new ArrayList<>();
    private final List<Long> unread = new ArrayList<>();
    private EntryReport.Builder part;
    private int bytes;

    /**
     * Creates a report without entries.
     *
     * @param header the fields that all parts have, among them the kind
     * @param maximumBytes the maximum size of a part
     * @param instanceNames the names of the instances
     * @param teamNames the names of the teams
     */
    ReportParts(EntryReport header, int maximumBytes, NameHashes instanceNames, NameHashes teamNames) {
        this.header = header;
        this.maximumBytes = maximumBytes;
        this.instanceNames = instanceNames;
        this.teamNames = teamNames;
        this.part = header.toBuilder();
        this.emptyBytes = header.getSerializedSize() + RESERVED_BYTES;
        this.bytes = emptyBytes;
    }

    /** Adds loads by instance; a full report covers all instances that they do not name. */
    ReportParts addLoads(Map<String, EntryLoad> loads) {
        TreeMap<Integer, EntryLoad> byHash = new TreeMap<>(Integer::compareUnsigned);
        loads.forEach((id, load) -> {
            if (instanceNames.isUnique(id)) {
                byHash.put(instanceNames.hash(id), load);
            } else {
                reserve(2 * (id.length() + MAP_ENTRY_OVERHEAD_BYTES));
                part.putRunning(id, load.running());
                part.putUnreadPromptTokens(id, load.unreadTokens());
            }
        });
        boolean full = header.getKind() == ReportKind.REPORT_KIND_FULL;
        byHash.forEach((hash, load) -> {
            int size = Integer.BYTES
                    + CodedOutputStream.computeUInt32SizeNoTag(load.running())
                    + CodedOutputStream.computeUInt64SizeNoTag(load.unreadTokens());
            boolean split = full && exceedsPart(size);
            if (split && hash != 0) {
                part.setCoveredThrough(hash - 1);
            }
            reserve(size);
            if (split) {
                part.setCoveredFrom(hash);
            }
            part.addLoadNames(hash).addLoadRunning(load.running());
            unread.add(load.unreadTokens());
        });
        if (full) {
            part.setCoveredThrough(-1);
        }
        return this;
    }

    /** Adds totals of granted tokens by team. */
    ReportParts addTotals(Map<String, Long> totals) {
        totals.forEach((team, total) -> {
            if (teamNames.isUnique(team)) {
                reserve(Integer.BYTES + CodedOutputStream.computeInt64SizeNoTag(total));
                part.addGrantNames(teamNames.hash(team)).addGrantTotals(total);
            } else {
                reserve(team.length() + MAP_ENTRY_OVERHEAD_BYTES);
                part.putGrantedTokens(team, total);
            }
        });
        return this;
    }

    /** Adds the demand of this entry. */
    ReportParts addDemands(List<TargetDemand> demands) {
        demands.forEach(demand -> {
            reserve(demand);
            part.addDemands(demand);
        });
        return this;
    }

    /** Adds the models and adapters that engines hold. */
    ReportParts addResidents(List<EngineResidents> engines) {
        engines.forEach(engine -> {
            reserve(engine);
            part.addResidents(engine);
        });
        return this;
    }

    /** Adds quarantines and traits that were disproved. */
    ReportParts addQuarantines(List<TraitQuarantine> quarantines, Iterable<String> disproved) {
        quarantines.forEach(quarantine -> {
            reserve(quarantine);
            part.addQuarantines(quarantine);
        });
        disproved.forEach(trait -> {
            reserve(trait.length() + MESSAGE_OVERHEAD_BYTES);
            part.addDisprovedTraits(trait);
        });
        return this;
    }

    /** Returns the encoded parts. */
    List<byte[]> build() {
        endPart();
        return parts.stream().map(MessageLite::toByteArray).toList();
    }

    private void reserve(MessageLite message) {
        reserve(message.getSerializedSize() + MESSAGE_OVERHEAD_BYTES);
    }

    /** Begins another part unless an item of the given size fits into the current one. */
    private void reserve(int size) {
        if (exceedsPart(size)) {
            endPart();
            // An entry of the previous version takes a report without load changes for a complete one, and would
            // replace the demand of this entry by none.
            part = header.toBuilder().setContinuation(true).addLoadChanges(InstanceLoad.getDefaultInstance());
            bytes = emptyBytes;
        }
        bytes += size;
    }

    private boolean exceedsPart(int size) {
        return bytes > emptyBytes && bytes + size > maximumBytes;
    }

    private void endPart() {
        if (unread.stream().anyMatch(tokens -> tokens > 0)) {
            part.addAllLoadUnread(unread);
        }
        unread.clear();
        parts.add(part.build());
    }
}
