package io.oleandermoor.state.configuration;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.TeamName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Validates the settings that apply to the whole fleet. */
final class FleetSettingsValidator {

    private static final String OPENING_HOURS_PLACE = "settings.openingHours";

    private FleetSettingsValidator() {}

    static void validate(ConfigurationDocument document, Findings findings) {
        checkAdmission(document.settings().admission(), findings);
        checkWeightStore(document.settings().weightStore(), findings);
        checkOpeningHours(document, findings);
    }

    private static void checkAdmission(AdmissionSettings admission, Findings findings) {
        String place = "settings.admission";
        if (!AdmissionSettings.POLICY_NAMES.contains(admission.policy())) {
            findings.error(
                    place + ".policy",
                    "'" + admission.policy() + "' must be one of " + new TreeSet<>(AdmissionSettings.POLICY_NAMES));
        }
        checkNotNegative(place + ".worstServedWeight", admission.worstServedWeight(), findings);
        checkNotNegative(place + ".refusalWeight", admission.refusalWeight(), findings);
        if (admission.worstServedWeight() == 0 && admission.refusalWeight() == 0) {
            findings.error(place, "at least one of worstServedWeight and refusalWeight must be positive");
        }
        if (admission.batchSharePercent() < 0 || admission.batchSharePercent() > 100) {
            findings.error(
                    place + ".batchSharePercent", "must be from 0 to 100 but is " + admission.batchSharePercent());
        }
    }

    private static void checkWeightStore(WeightStoreLimits limits, Findings findings) {
        String place = "settings.weightStore";
        ConfigurationValidator.checkPositive(
                place + ".loadsPerThousandSeconds", limits.loadsPerThousandSeconds(), findings);
        ConfigurationValidator.checkPositive(place + ".concurrentLoads", limits.concurrentLoads(), findings);
        ConfigurationValidator.checkPositive(place + ".adapterLoadsInFlight", limits.adapterLoadsInFlight(), findings);
    }

    private static void checkOpeningHours(ConfigurationDocument document, Findings findings) {
        ConfigurationValidator.checkUnique(
                OPENING_HOURS_PLACE, document.settings().openingHours(), OpeningHours::group, findings);
        Set<TeamName> definedTeams = new HashSet<>();
        document.teams().forEach(team -> definedTeams.add(team.name()));
        Map<TeamName, String> groupByTeam = new HashMap<>();
        for (int index = 0; index < document.settings().openingHours().size(); index++) {
            OpeningHours hours = document.settings().openingHours().get(index);
            String place = ConfigurationValidator.elementPlace(OPENING_HOURS_PLACE, index);
            checkGroupHours(place, hours, findings);
            for (int teamIndex = 0; teamIndex < hours.teams().size(); teamIndex++) {
                TeamName team = hours.teams().get(teamIndex);
                String teamPlace = ConfigurationValidator.elementPlace(place + ".teams", teamIndex);
                if (!definedTeams.contains(team)) {
                    findings.error(teamPlace, "team '" + team + "' is not defined");
                }
                String otherGroup = groupByTeam.putIfAbsent(team, hours.group());
                if (otherGroup != null) {
                    findings.error(teamPlace, "team '" + team + "' is already in group '" + otherGroup + "'");
                }
            }
        }
    }

    private static void checkGroupHours(String place, OpeningHours hours, Findings findings) {
        if (!Identifiers.isValid(hours.group())) {
            findings.error(place + ".group", "'" + hours.group() + "' is not a valid identifier");
        }
        if (!OpeningHours.isValidTime(hours.opens())) {
            findings.error(place + ".opens", "'" + hours.opens() + "' must be a time such as 08:30");
        }
        if (!OpeningHours.isValidTime(hours.closes())) {
            findings.error(place + ".closes", "'" + hours.closes() + "' must be a time such as 18:00");
        }
        if (hours.opens().equals(hours.closes())) {
            findings.error(place + ".closes", "must differ from the opening time");
        }
        if (!OpeningHours.isKnownZone(hours.zone())) {
            findings.error(place + ".zone", "'" + hours.zone() + "' must be a time zone such as Europe/London");
        }
    }

    private static void checkNotNegative(String place, long value, Findings findings) {
        if (value < 0) {
            findings.error(place, "must not be negative but is " + value);
        }
    }
}
