package io.oleandermoor.state.admission;

/** Determines the order in which waiting requests are served and how much of the queue one team may use. */
public enum AdmissionPolicy {

    /** Baseline: serves in order of arrival, without regard to team or class. */
    FIRST_COME {
        @Override
        boolean separatesTeams() {
            return false;
        }

        @Override
        long teamLimit(QueueSettings settings, int queued) {
            return settings.maximumQueued();
        }

        @Override
        int deadlineTolerancePercent(QueueSettings settings) {
            return 100;
        }
    },

    /**
     * Serves live before batch work and, within a class, the team that has received the least service in proportion to
     * its weight.
     */
    WEIGHTED {
        @Override
        boolean separatesTeams() {
            return true;
        }

        /**
         * A team may have up to a multiple of the number of free queue positions, which leaves positions for other
         * teams without fixed quotas. With equal weights the multiple is 2, and a single team can fill two thirds of
         * the queue.
         */
        @Override
        long teamLimit(QueueSettings settings, int queued) {
            long free = settings.maximumQueued() - queued;
            return settings.worstServedWeight() == 0
                    ? settings.maximumQueued()
                    : Math.max(1, 2L * free * settings.refusalWeight() / settings.worstServedWeight());
        }

        /**
         * With more weight on few refusals, a request is accepted even if its expected wait exceeds the remaining time
         * by up to half. With more weight on the worst-served team, it is refused if its expected wait exceeds a
         * fraction of the remaining time, at least one half. Requests that wait and then give up late would delay
         * others.
         */
        @Override
        int deadlineTolerancePercent(QueueSettings settings) {
            int sum = settings.refusalWeight() + settings.worstServedWeight();
            return 100 + 50 * (settings.refusalWeight() - settings.worstServedWeight()) / sum;
        }
    };

    /** Returns whether each team and class has a separate queue. */
    abstract boolean separatesTeams();

    /** Returns the maximum number of waiting requests of one team. */
    abstract long teamLimit(QueueSettings settings, int queued);

    /** Returns the maximum expected wait as a percentage of the time until the deadline. */
    abstract int deadlineTolerancePercent(QueueSettings settings);
}
