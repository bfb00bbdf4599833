package io.oleandermoor.state.restore;

import java.util.Optional;

/**
 * A record in the store of the entry that gives orders or gave the latest ones. The text is the name of the entry,
 * followed by the era if there is one. Entries of versions without eras write the name alone, and take a text with an
 * era for the name of another entry, which makes them wait.
 *
 * @param entry the name of the entry
 * @param era for the holder: the era in which it acquired the right. For the last holder: the era in which all holders
 *     of older eras are known to have ended. 0 if none is stated
 */
public record HolderRecord(String entry, long era) {

    /** The era of a store that states none. */
    public static final long NO_ERA = 0;

    /** Number of bits of a fencing token below the era; the store would take decades to assign as many revisions. */
    private static final int REVISION_BITS = 40;

    /** Decodes a record. */
    public static HolderRecord parse(String text) {
        int space = text.lastIndexOf(' ');
        if (space < 0 || !text.substring(space + 1).matches("[0-9]{1,6}")) {
            return new HolderRecord(text, NO_ERA);
        }
        return new HolderRecord(text.substring(0, space), Long.parseLong(text.substring(space + 1)));
    }

    /** Encodes this record. */
    public String text() {
        return era == NO_ERA ? entry : entry + " " + era;
    }

    /** Returns whether this holder acquired its right before the store was restored, which ended the right. */
    public boolean isOfOlderEra(long currentEra) {
        return era != NO_ERA && era < currentEra;
    }

    /** Returns the fencing token of an acquisition. It is never lower than one of an older era. */
    public static long fencingToken(long era, long revision) {
        return (era << REVISION_BITS) + revision;
    }

    /** How a new holder follows the one before. */
    public enum Succession {
        /** No other entry can still give orders. */
        IMMEDIATE(false, true),
        /** Another entry of the same era gave orders before. */
        AFTER_OTHER(true, true),
        /** No entry is known to have waited for the holders of older eras, whoever they were. */
        FIRST_OF_ERA(true, false);

        private final boolean needsGap;
        private final boolean olderErasEnded;

        Succession(boolean needsGap, boolean olderErasEnded) {
            this.needsGap = needsGap;
            this.olderErasEnded = olderErasEnded;
        }

        /** Returns whether the new holder waits before its first order. */
        public boolean needsGap() {
            return needsGap;
        }

        /** Returns whether all holders of older eras are known to have ended before the new holder's gap. */
        public boolean olderErasEnded() {
            return olderErasEnded;
        }
    }

    /**
     * Decides how an entry follows the last holder.
     *
     * @param last the record of the last holder, if there is one
     * @param entry the name of the entry that acquires the right
     * @param era the current era
     * @param restoreSeen whether the entry has seen a restore itself
     */
    public static Succession succession(Optional<HolderRecord> last, String entry, long era, boolean restoreSeen) {
        boolean sameEntry = last.map(record -> record.entry().equals(entry)).orElse(true);
        if (era == NO_ERA || last.map(HolderRecord::era).orElse(NO_ERA) == era) {
            return sameEntry ? Succession.IMMEDIATE : Succession.AFTER_OTHER;
        }
        // Without a record, either no entry has given orders yet, or the copy is older than the first holder. In the
        // first era there is no copy.
        boolean firstStart = last.isEmpty() && era == RestoreWindow.FIRST_ERA && !restoreSeen;
        return firstStart ? Succession.IMMEDIATE : Succession.FIRST_OF_ERA;
    }
}
