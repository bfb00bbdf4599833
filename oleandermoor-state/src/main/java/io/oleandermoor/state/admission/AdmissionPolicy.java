package io.oleandermoor.state.admission;

/** Decides in which order waiting requests are served and how much of the queue one team may use. */
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

    /** Serves live before batch and, within a class, the team that has received the least for its weight. */
    WEIGHTED {
        @Override
        boolean separatesTeams() {
            return true;
        }

        /**
         * A team may use a multiple of what is still free, so that room is left for others without a fixed division.
         * With equal weights the multiple is 2, and a single team can fill two thirds of the queue.
         */
        @Override
        long teamLimit(QueueSettings settings, int queued) {
            long free = settings.maximumQueued() - queued;
            return settings.worstServedWeight() == 0
                    ? settings.maximumQueued()
                    : Math.max(1, 2L * free * settings.refusalWeight() / settings.worstServedWeight());
        }

        /**
         * With more weight on few refusals, a request is also accepted when the estimate exceeds its deadline by up to
         * half; with more weight on the worst-served team, already when the estimate uses half of its time. Late
         * requests that give up after waiting would have held back others.
         */
        @Override
        int deadlineTolerancePercent(QueueSettings settings) {
            int sum = settings.refusalWeight() + settings.worstServedWeight();
            return 100 + 50 * (settings.refusalWeight() - settings.worstServedWeight()) / sum;
        }
    };

    /** Returns whether each team and class has a queue of its own. */
    abstract boolean separatesTeams();

    /** Returns the largest number of waiting requests of one team. */
    abstract long teamLimit(QueueSettings settings, int queued);

    /** Returns the part of the remaining time that the expected wait may use. */
    abstract int deadlineTolerancePercent(QueueSettings settings);
}
