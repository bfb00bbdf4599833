package io.oleandermoor.state.coldstart;

/** Why an instance counts as cold. */
public enum ColdCause {
    /** Its description says so. */
    DESCRIBED {
        @Override
        long untilMillis(ColdInstance instance, long durationMillis) {
            return instance.description().coldRemainingMillis().stream()
                    .filter(remaining -> remaining > 0)
                    .map(remaining -> instance.describedMillis() + remaining + DESCRIPTION_MARGIN_MILLIS)
                    .findFirst()
                    .orElse(Long.MIN_VALUE);
        }
    },
    /** This entry has seen it start, and its description does not say whether it is cold. */
    NEW_RUN {
        @Override
        long untilMillis(ColdInstance instance, long durationMillis) {
            boolean unknown = instance.description().coldRemainingMillis().isEmpty();
            return unknown ? end(instance.runSeenMillis(), durationMillis) : Long.MIN_VALUE;
        }
    },
    /** This entry has reached it again after a loss of contact, so it may have restarted under its identifier. */
    RECONNECTED {
        @Override
        long untilMillis(ColdInstance instance, long durationMillis) {
            return end(instance.reconnectedMillis(), durationMillis);
        }
    },
    /** The evacuation of its failure domain has ended, and no description since then says that it is not cold. */
    READMITTED {
        @Override
        long untilMillis(ColdInstance instance, long durationMillis) {
            boolean saidSince = instance.describedMillis() > instance.readmittedMillis() + READMISSION_MARGIN_MILLIS
                    && instance.description().coldRemainingMillis().orElse(1) == 0;
            return saidSince ? Long.MIN_VALUE : end(instance.readmittedMillis(), durationMillis);
        }
    };

    /** Covers the time between the writing of a description and its arrival at other entries. */
    private static final long DESCRIPTION_MARGIN_MILLIS = 300;
    /** A description that arrives within this time after a readmission may have been written before it. */
    private static final long READMISSION_MARGIN_MILLIS = 1_000;

    /**
     * Returns the time until which an instance is cold for this cause; {@link Long#MIN_VALUE} if it does not apply.
     *
     * @param instance the instance
     * @param durationMillis the time for which instances of its service are cold after their start
     */
    abstract long untilMillis(ColdInstance instance, long durationMillis);

    private static long end(long startMillis, long durationMillis) {
        return startMillis == Long.MIN_VALUE ? Long.MIN_VALUE : startMillis + durationMillis;
    }
}
