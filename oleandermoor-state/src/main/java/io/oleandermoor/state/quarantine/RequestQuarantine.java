package io.oleandermoor.state.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Determines which traits of requests end instances, from the crashes and the answers that all entries observe. A trait
 * is quarantined when instances ended repeatedly under different requests with it and no request with it was answered
 * since the first of these crashes. A single complete answer to a request with the trait disproves it. An answer that
 * goes on for much longer than those that ended with their instances disproves the parts of its request, but not the
 * request itself, which may end the instance at any time. The first quarantine is short, because a rare trait may have
 * been present at several crashes by chance; the next crash under the trait quarantines it for long. Of traits that
 * were present at the same crashes, any one may be the cause: only requests with all of them are refused, so that the
 * answers to the others tell which one it is. A part is not the cause of crashes that a single repeated request
 * explains. Not thread-safe.
 */
public final class RequestQuarantine {

    /** Crashes within this time count as one, because a failure of shared equipment ends several instances at once. */
    private static final long EPISODE_MILLIS = 100;
    /** Crashes under a trait, and different requests with it, after which the trait is quarantined. */
    private static final int CRASHES = 2;
    /** The same for a trait that was in answered requests recently. */
    private static final int CRASHES_OF_RECENTLY_ANSWERED = 3;

    private static final long RECENT_ANSWER_MILLIS = 30_000;
    private static final long FIRST_QUARANTINE_MILLIS = 30_000;
    /** Duration of later quarantines; each request with the trait that arrives meanwhile extends it. */
    private static final long REPEATED_QUARANTINE_MILLIS = 600_000;

    /** Answers that went on for this many times as long as those that ended with their instances are sound. */
    private static final int OUTLIVING_FACTOR = 2;
    /** Minimum time for which an answer must have gone on to be sound. */
    private static final long MINIMUM_OUTLIVING_MILLIS = 150;

    private static final int MAXIMUM_ANSWERED_TRAITS = 8_192;
    private static final int MAXIMUM_SUSPICIONS = 1_024;
    private static final int MAXIMUM_KNOWN_REPORTS = 4_096;

    private final Map<String, Long> answeredMillis = new BoundedMap<>(MAXIMUM_ANSWERED_TRAITS);
    private final Map<String, Suspicion> suspicions = new BoundedMap<>(MAXIMUM_SUSPICIONS);
    private final Map<String, Boolean> knownReports = new BoundedMap<>(MAXIMUM_KNOWN_REPORTS);
    private final Map<String, Quarantine> quarantines = new HashMap<>();

    /**
     * A trait whose requests are not sent.
     *
     * @param trait the trait
     * @param companions the traits that were present at each of its crashes, so that they may be the cause in its
     *     place; a request is refused only if it has all of them, too
     * @param untilMillis the time at which its requests may be sent again
     * @param repeated whether an instance ended under the trait after its first quarantine
     */
    public record Quarantine(String trait, Set<String> companions, long untilMillis, boolean repeated) {

        /** Copies the companions. */
        public Quarantine {
            companions = Set.copyOf(companions);
        }

        /** Returns whether the quarantine concerns a single request and its repetitions only. */
        public boolean isOfWholeRequest() {
            return RequestTraits.isFingerprint(trait) || companions.stream().anyMatch(RequestTraits::isFingerprint);
        }

        private Quarantine extendedTo(long millis) {
            return new Quarantine(trait, companions, Math.max(untilMillis, millis), repeated);
        }

        private Quarantine withCompanions(Set<String> newCompanions) {
            return new Quarantine(trait, newCompanions, untilMillis, repeated);
        }
    }

    /** The crashes under a trait since the last answer to a request with it. */
    private static final class Suspicion {

        private final Map<String, Long> crashMillisByRun = new LinkedHashMap<>();
        private final Set<String> requests = new HashSet<>();
        private final int requiredCrashes;
        /** The traits of the last suspect. Those with the same fingerprint have the same ones. */
        private List<String> suspectTraits = List.of();

        private long longestAnswerMillis;

        Suspicion(int requiredCrashes) {
            this.requiredCrashes = requiredCrashes;
        }

        boolean explains(Suspicion other) {
            return crashMillisByRun.keySet().containsAll(other.crashMillisByRun.keySet());
        }

        boolean isOutlivedBy(long answeringMillis) {
            return answeringMillis >= OUTLIVING_FACTOR * longestAnswerMillis + MINIMUM_OUTLIVING_MILLIS;
        }

        boolean isSufficient() {
            return requests.size() >= requiredCrashes && episodes() >= requiredCrashes;
        }

        private int episodes() {
            int episodes = 0;
            long lastMillis = Long.MIN_VALUE / 2;
            for (long millis : crashMillisByRun.values().stream().sorted().toList()) {
                if (millis - lastMillis >= EPISODE_MILLIS) {
                    episodes++;
                    lastMillis = millis;
                }
            }
            return episodes;
        }
    }

    /** A map that evicts the least recently used entry. */
    private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

        private static final long serialVersionUID = 1L;
        private final int maximumSize;

        BoundedMap(int maximumSize) {
            super(16, 0.75f, true);
            this.maximumSize = maximumSize;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > maximumSize;
        }
    }

    /**
     * Records the report of an entry about an instance that ended. A repeated report changes nothing.
     *
     * @param report the report
     * @param nowMillis the current time
     * @return the quarantines that begin
     */
    public List<Quarantine> recordCrash(CrashReport report, long nowMillis) {
        return recordCrashes(List.of(report), nowMillis);
    }

    /**
     * Records reports that belong together, so that no quarantine follows from a part of what is known.
     *
     * @param reports the reports
     * @param nowMillis the current time
     * @return the quarantines that begin
     */
    public List<Quarantine> recordCrashes(Collection<CrashReport> reports, long nowMillis) {
        Set<String> begun = new LinkedHashSet<>();
        for (CrashReport report : reports) {
            for (CrashReport.Suspect suspect : report.suspects()) {
                if (knownReports.put(reportId(report, suspect), true) == null) {
                    suspect.traits().stream()
                            .filter(trait -> recordSuspect(report.runId(), suspect, trait, nowMillis))
                            .forEach(begun::add);
                }
            }
        }
        quarantines.replaceAll((trait, quarantine) -> quarantine.withCompanions(companions(quarantine)));
        return begun.stream()
                .flatMap(trait -> Optional.ofNullable(quarantines.get(trait)).stream())
                .toList();
    }

    /**
     * Returns the traits that were present at each crash of a trait and may be the cause in its place: quarantined
     * ones, and single requests that have the part, which are a more specific cause.
     */
    private Set<String> companions(Quarantine quarantine) {
        Suspicion suspicion = suspicions.get(quarantine.trait());
        if (suspicion == null) {
            // The evidence is that of another entry.
            return quarantine.companions();
        }
        Set<String> companions = new HashSet<>();
        suspicions.forEach((other, otherSuspicion) -> {
            boolean moreSpecific =
                    RequestTraits.isFingerprint(other) && otherSuspicion.suspectTraits.contains(quarantine.trait());
            boolean possibleCause = moreSpecific || quarantines.containsKey(other);
            if (possibleCause && !other.equals(quarantine.trait()) && otherSuspicion.explains(suspicion)) {
                companions.add(other);
            }
        });
        return companions;
    }

    /** Returns whether a report holds nothing that was not reported before. */
    public boolean isKnown(CrashReport report) {
        return report.suspects().stream().allMatch(suspect -> knownReports.containsKey(reportId(report, suspect)));
    }

    private static String reportId(CrashReport report, CrashReport.Suspect suspect) {
        return report.runId() + " " + suspect.requestId();
    }

    /** Records a crash under a trait; returns whether a quarantine of the trait begins. */
    private boolean recordSuspect(String runId, CrashReport.Suspect suspect, String trait, long nowMillis) {
        Suspicion suspicion =
                suspicions.computeIfAbsent(trait, key -> new Suspicion(requiredCrashes(trait, nowMillis)));
        suspicion.crashMillisByRun.putIfAbsent(runId, nowMillis);
        suspicion.requests.add(suspect.requestId());
        suspicion.suspectTraits = suspect.traits();
        suspicion.longestAnswerMillis = Math.max(suspicion.longestAnswerMillis, suspect.answeringMillis());
        Quarantine previous = quarantines.get(trait);
        boolean repeated = previous != null;
        boolean inForce = previous != null && previous.untilMillis() > nowMillis;
        if (inForce || !(repeated || suspicion.isSufficient())) {
            return false;
        }
        long durationMillis = repeated ? REPEATED_QUARANTINE_MILLIS : FIRST_QUARANTINE_MILLIS;
        quarantines.put(trait, new Quarantine(trait, Set.of(), nowMillis + durationMillis, repeated));
        return true;
    }

    private int requiredCrashes(String trait, long nowMillis) {
        Long answered = answeredMillis.get(trait);
        return answered != null && nowMillis - answered < RECENT_ANSWER_MILLIS ? CRASHES_OF_RECENTLY_ANSWERED : CRASHES;
    }

    /**
     * Records that an instance goes on answering a request, which disproves the suspected parts whose requests ended
     * instances much earlier.
     *
     * @param traits the traits of the request
     * @param answeringMillis the time for which the instance has been answering the request
     * @return the parts that were suspected or quarantined until now
     */
    public List<String> recordProgress(RequestTraits traits, long answeringMillis) {
        if (suspicions.isEmpty()) {
            return List.of();
        }
        return disprove(traits.parts().stream()
                .filter(part -> Optional.ofNullable(suspicions.get(part))
                        .filter(suspicion -> suspicion.isOutlivedBy(answeringMillis))
                        .isPresent())
                .toList());
    }

    /**
     * Records that an instance has answered a request completely, which disproves that its traits end instances.
     *
     * @param traits the traits of the request
     * @param nowMillis the current time
     * @return the traits that were suspected or quarantined until now
     */
    public List<String> recordAnswer(RequestTraits traits, long nowMillis) {
        traits.parts().forEach(part -> answeredMillis.put(part, nowMillis));
        if (suspicions.isEmpty() && quarantines.isEmpty()) {
            return List.of();
        }
        boolean fingerprintSuspected = anyTrait(RequestTraits::isFingerprint);
        return disprove(fingerprintSuspected ? traits.all() : traits.parts());
    }

    private boolean anyTrait(Predicate<String> condition) {
        return suspicions.keySet().stream().anyMatch(condition)
                || quarantines.keySet().stream().anyMatch(condition);
    }

    /**
     * Records that requests with some traits were answered, as another entry observed.
     *
     * @param traits the traits
     * @return those that were suspected or quarantined until now
     */
    public List<String> disprove(Collection<String> traits) {
        List<String> disproved = new ArrayList<>();
        for (String trait : traits) {
            boolean suspected = suspicions.remove(trait) != null;
            if (quarantines.remove(trait) != null || suspected) {
                disproved.add(trait);
            }
        }
        if (!disproved.isEmpty()) {
            quarantines.replaceAll((trait, quarantine) -> without(quarantine, disproved));
        }
        return disproved;
    }

    private static Quarantine without(Quarantine quarantine, Collection<String> disproved) {
        Set<String> companions = new HashSet<>(quarantine.companions());
        return companions.removeAll(disproved) ? quarantine.withCompanions(companions) : quarantine;
    }

    /**
     * Adds a quarantine that another entry, or this one before its restart, has begun.
     *
     * @param quarantine the quarantine
     * @return whether it was not in force here yet
     */
    public boolean restore(Quarantine quarantine) {
        Quarantine known = quarantines.get(quarantine.trait());
        if (known != null && (known.repeated() || !quarantine.repeated())) {
            return false;
        }
        quarantines.put(quarantine.trait(), quarantine);
        return true;
    }

    /**
     * Returns the quarantine that forbids to send a request; empty if it may be sent.
     *
     * @param traits the traits of the request
     * @param nowMillis the current time
     */
    public Optional<Quarantine> find(RequestTraits traits, long nowMillis) {
        if (quarantines.isEmpty()) {
            return Optional.empty();
        }
        boolean requestsQuarantined = quarantines.values().stream().anyMatch(Quarantine::isOfWholeRequest);
        List<String> present = requestsQuarantined ? traits.all() : traits.parts();
        for (String trait : present) {
            Optional<Quarantine> found = find(trait, present, nowMillis);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private Optional<Quarantine> find(String trait, List<String> present, long nowMillis) {
        Quarantine quarantine = quarantines.get(trait);
        if (quarantine == null
                || quarantine.untilMillis() <= nowMillis
                || !present.containsAll(quarantine.companions())) {
            return Optional.empty();
        }
        if (quarantine.repeated()) {
            quarantine = quarantine.extendedTo(nowMillis + REPEATED_QUARANTINE_MILLIS);
            quarantines.put(trait, quarantine);
        }
        return Optional.of(quarantine);
    }

    /** Returns the quarantines in force, ordered by trait; discards those that ended long ago. */
    public Collection<Quarantine> active(long nowMillis) {
        Map<String, Quarantine> active = new TreeMap<>();
        Iterator<Quarantine> iterator = quarantines.values().iterator();
        while (iterator.hasNext()) {
            Quarantine quarantine = iterator.next();
            if (quarantine.untilMillis() > nowMillis) {
                active.put(quarantine.trait(), quarantine);
            } else if (quarantine.untilMillis() + REPEATED_QUARANTINE_MILLIS < nowMillis) {
                iterator.remove();
            }
        }
        return active.values();
    }
}
