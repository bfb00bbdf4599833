package io.oleandermoor.gateway.peer;

import io.oleandermoor.protocol.message.CrashSuspect;
import io.oleandermoor.protocol.message.InstanceCrash;
import io.oleandermoor.protocol.message.TraitQuarantine;
import io.oleandermoor.state.quarantine.CrashReport;
import io.oleandermoor.state.quarantine.RequestQuarantine.Quarantine;
import java.util.Set;

/** Converts crashes and quarantines to and from the reports that entries send to each other. */
final class QuarantineMessages {

    private QuarantineMessages() {}

    static InstanceCrash encode(CrashReport report) {
        InstanceCrash.Builder message =
                InstanceCrash.newBuilder().setInstance(report.instance()).setStartedMillis(report.startedMillis());
        report.suspects()
                .forEach(suspect -> message.addSuspects(CrashSuspect.newBuilder()
                        .setRequest(suspect.requestId())
                        .addAllTraits(suspect.traits())
                        .setAnsweringMillis(suspect.answeringMillis())));
        return message.build();
    }

    static CrashReport decode(InstanceCrash message) {
        return new CrashReport(
                message.getInstance(),
                message.getStartedMillis(),
                message.getSuspectsList().stream()
                        .map(suspect -> new CrashReport.Suspect(
                                suspect.getRequest(), suspect.getTraitsList(), suspect.getAnsweringMillis()))
                        .toList());
    }

    static TraitQuarantine encode(Quarantine quarantine, long nowMillis) {
        return TraitQuarantine.newBuilder()
                .setTrait(quarantine.trait())
                .setRemainingMillis(quarantine.untilMillis() - nowMillis)
                .setAfterFirst(quarantine.repeated())
                .addAllCompanions(quarantine.companions())
                .build();
    }

    static Quarantine decode(TraitQuarantine message, long nowMillis) {
        return new Quarantine(
                message.getTrait(),
                Set.copyOf(message.getCompanionsList()),
                nowMillis + message.getRemainingMillis(),
                message.getAfterFirst());
    }
}
