package io.oleandermoor.state.restore;

/**
 * The time after a restore of the store in which its writers write again what the copy lacks. A key that is absent from
 * a full read of this time may still exist for its writer.
 */
public final class RestoreWindow {

    /** Time in which operators and instances write their keys again. */
    public static final long DURATION_MILLIS = 3_000;

    /** The era of a store that was never restored, if it states one; a higher one shows an earlier restore. */
    public static final long FIRST_ERA = 1;

    private boolean restored;
    private long beganMillis;

    /** Records that the store is known to have been restored. */
    public void begin(long nowMillis) {
        restored = true;
        beganMillis = nowMillis;
    }

    /**
     * Returns whether a key that a full read does not contain has been removed.
     *
     * @param readMillis the time at which the read began
     */
    public boolean trustsAbsence(long readMillis) {
        return !isOpen(readMillis);
    }

    /** Returns whether writers may still be writing again what the copy lacks. */
    public boolean isOpen(long nowMillis) {
        return restored && nowMillis - beganMillis < DURATION_MILLIS;
    }
}
