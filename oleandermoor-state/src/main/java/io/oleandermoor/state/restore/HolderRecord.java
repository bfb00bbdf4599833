package io.oleandermoor.state.restore;

import java.util.Optional;

/**
 * A record in the store of the machine that holds the right to give orders, or of the one that may have given the
 * latest ones. The text is the name of the machine, followed by the era if there is one. Entries of versions without
 * eras write the name of an entry alone, and take the text of any other machine for that of another entry, which makes
 * them wait.
 *
 * @param machine the name of the machine, which differs between machines that bear the name of the same entry
 * @param era the era of the store in which the record was written, or 0 if the store states none
 */
public record HolderRecord(String machine, long era) {

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
        return era == NO_ERA ? machine : machine + " " + era;
    }

    /** Returns whether this holder acquired its right before the store was restored, which ended the right. */
    public boolean isOfOlderEra(long currentEra) {
        return era != NO_ERA && era < currentEra;
    }

    /** Returns the fencing token of an acquisition. It is never lower than one of an older era. */
    public static long fencingToken(long era, long revision) {
        return (era << REVISION_BITS) + revision;
    }

    /** How a new holder follows the machine that gave orders before. */
    public enum Succession {
        /** No other machine has given orders since this one did. */
        IMMEDIATE {
            @Override
            public long waitMillis(long gapMillis, long leaseMillis) {
                return 0;
            }
        },
        /**
         * Another machine gave orders until its lease ended, which was before the new holder could acquire the right.
         */
        AFTER_OTHER {
            @Override
            public long waitMillis(long gapMillis, long leaseMillis) {
                return gapMillis;
            }
        },
        /**
         * The store does not tell who gave orders, because the record was removed, or it was restored, after which a
         * delayed call from before may end a right. A holder may not know yet that its right has ended, so its lease is
         * waited for as well.
         */
        AFTER_UNKNOWN {
            @Override
            public long waitMillis(long gapMillis, long leaseMillis) {
                return gapMillis + leaseMillis;
            }
        };

        /**
         * Returns the time in milliseconds between the acquisition of the right and the first order.
         *
         * @param gapMillis the time that must lie between the orders of two machines
         * @param leaseMillis the longest time for which a holder takes its right for valid after its last renewal
         */
        public abstract long waitMillis(long gapMillis, long leaseMillis);
    }

    /**
     * Decides how a machine that acquires the right follows the one that gave orders before.
     *
     * @param last the record of the machine that may have given the latest orders, if there is one
     * @param machine the machine that acquires the right
     * @param era the current era
     */
    public static Succession succession(Optional<HolderRecord> last, String machine, long era) {
        if (last.isEmpty() || last.get().era() != era) {
            return Succession.AFTER_UNKNOWN;
        }
        if (last.get().machine().equals(machine)) {
            return Succession.IMMEDIATE;
        }
        return era > RestoreWindow.FIRST_ERA ? Succession.AFTER_UNKNOWN : Succession.AFTER_OTHER;
    }
}
