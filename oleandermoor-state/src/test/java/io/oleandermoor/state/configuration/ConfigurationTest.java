package io.oleandermoor.state.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.TeamName;
import java.time.DayOfWeek;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationTest {

    private static final TeamName CAFE = new TeamName("cafe");
    private static final OpeningHours SHOP_HOURS =
            new OpeningHours("shops", List.of(CAFE), "08:00", "18:30", "Europe/London", List.of(DayOfWeek.SUNDAY));

    private static Configuration applyToEmpty(Change... changes) throws InvalidInputException {
        return Configuration.empty().apply(new ChangeSet("change", "author", List.of(changes)));
    }

    private static List<String> findingPlaces(ConfigurationDocument document) {
        Findings findings = new Findings();
        ConfigurationValidator.validate(document, findings);
        return findings.list().stream().map(Finding::place).toList();
    }

    @Nested
    class ApplyingChanges {

        /** Guards against a type of change that is accepted but has no effect on the next version. */
        @Test
        void settingsChangesAppearInNextVersion() throws InvalidInputException {
            AdmissionSettings admission = new AdmissionSettings(AdmissionSettings.FIRST_COME, 3, 2, 20);
            WeightStoreLimits limits = new WeightStoreLimits(1500, 7, 55);
            Configuration changed = applyToEmpty(
                    new Change.PutTeam(new Team(CAFE, 10, 20, 1)),
                    new Change.PutAdmission(admission),
                    new Change.PutWeightStore(limits),
                    new Change.PutOpeningHours(SHOP_HOURS));

            assertThat(changed.settings()).isEqualTo(new FleetSettings(admission, limits, List.of(SHOP_HOURS)));
            assertThat(changed.toDocument().settings()).isEqualTo(changed.settings());
        }

        /** Guards against a removed team staying in its opening hours group, which makes the next version invalid. */
        @Test
        void removingTeamRevokesItsKeysAndRemovesItFromItsGroup() throws InvalidInputException {
            Configuration changed = applyToEmpty(
                    new Change.PutTeam(new Team(CAFE, 10, 20, 1)),
                    new Change.IssueKey(new ApiKey("key-1", CAFE, KeyHash.of("secret"))),
                    new Change.PutOpeningHours(SHOP_HOURS),
                    new Change.RemoveTeam(CAFE));

            assertThat(changed.key(KeyHash.of("secret"))).isEmpty();
            assertThat(changed.settings().openingHours().get(0).teams()).isEmpty();
        }

        /** Guards against a change set being partly applied when one of its changes names an unknown element. */
        @Test
        void removingUnknownGroupIsRejected() {
            InvalidInputException exception = catchThrowableOfType(
                    InvalidInputException.class, () -> applyToEmpty(new Change.RemoveOpeningHours("none")));
            assertThat(exception.findings()).extracting(Finding::place).containsExactly("changes[0]");
        }

        /** Guards against a change that is written to the configuration log but cannot be read back from it. */
        @Test
        void changeSetIsUnchangedAfterJsonRoundTrip() throws Exception {
            ObjectMapper mapper = new ObjectMapper();
            ChangeSet changeSet = new ChangeSet(
                    "change",
                    "author",
                    List.of(
                            new Change.PutAdmission(AdmissionSettings.DEFAULT),
                            new Change.PutWeightStore(WeightStoreLimits.DEFAULT),
                            new Change.PutOpeningHours(SHOP_HOURS),
                            new Change.RemoveOpeningHours("shops")));
            assertThat(mapper.readValue(mapper.writeValueAsString(changeSet), ChangeSet.class))
                    .isEqualTo(changeSet);
        }
    }

    @Nested
    class Validation {

        /** Guards against a stored document becoming unreadable or invalid when a new field is added. */
        @Test
        void missingFieldsGetDefaultsAndPass() throws Exception {
            ConfigurationDocument document = new ObjectMapper().readValue("""
                            {"routes": [{"name": "r", "method": "GET", "path": "/r", "service": "s",
                            "access": "TEAM", "repeatability": "IDEMPOTENT"}]}""", ConfigurationDocument.class);
            assertThat(document.settings()).isEqualTo(FleetSettings.DEFAULT);
            assertThat(document.routes().get(0).maximumBodyBytes()).isEqualTo(Route.DEFAULT_MAXIMUM_BODY_BYTES);
            assertThat(findingPlaces(document)).isEmpty();
        }

        /** Guards against a document being accepted with values that no daemon can apply. */
        @Test
        void everyInvalidValueIsReported() {
            OpeningHours invalidHours = new OpeningHours("shops", List.of(CAFE), "8:00", "8:00", "Nowhere", List.of());
            Route invalidRoute = new Route(
                    new RouteName("r"),
                    "POST",
                    "/r",
                    new ServiceName("s"),
                    Access.OPEN,
                    Repeatability.AT_MOST_ONCE,
                    true,
                    -1);
            ConfigurationDocument document = new ConfigurationDocument(
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(invalidRoute),
                    new FleetSettings(
                            new AdmissionSettings("OTHER", -1, 0, 101),
                            new WeightStoreLimits(0, 0, 0),
                            List.of(SHOP_HOURS, invalidHours)));

            assertThat(findingPlaces(document))
                    .contains(
                            "routes[0].maximumBodyBytes",
                            "routes[0].idempotencyKeyRequired",
                            "settings.admission.policy",
                            "settings.admission.worstServedWeight",
                            "settings.admission.batchSharePercent",
                            "settings.weightStore.loadsPerThousandSeconds",
                            "settings.weightStore.concurrentLoads",
                            "settings.weightStore.adapterLoadsInFlight",
                            "settings.openingHours[1]",
                            "settings.openingHours[0].teams[0]",
                            "settings.openingHours[1].opens",
                            "settings.openingHours[1].closes",
                            "settings.openingHours[1].zone");
        }
    }

    @Nested
    class OpeningHoursTimes {

        /** Guards against opening hours that ignore the time zone with its daylight saving time, or the closed days. */
        @Test
        void openOnlyWithinLocalHoursAndOnOpenDays() {
            assertThat(SHOP_HOURS.isOpenAt(Instant.parse("2026-07-01T07:00:00Z")))
                    .isTrue();
            assertThat(SHOP_HOURS.isOpenAt(Instant.parse("2026-12-01T07:59:59Z")))
                    .isFalse();
            assertThat(SHOP_HOURS.isOpenAt(Instant.parse("2026-12-01T18:30:00Z")))
                    .isFalse();
            assertThat(SHOP_HOURS.isOpenAt(Instant.parse("2026-12-06T12:00:00Z")))
                    .isFalse();
        }

        /** Guards against hours that extend past midnight being empty or being attributed to the wrong day. */
        @Test
        void hoursPastMidnightBelongToOpeningDay() {
            OpeningHours nightHours =
                    new OpeningHours("bars", List.of(), "20:00", "02:00", "UTC", List.of(DayOfWeek.SUNDAY));
            assertThat(nightHours.isOpenAt(Instant.parse("2026-12-06T01:00:00Z")))
                    .isTrue();
            assertThat(nightHours.isOpenAt(Instant.parse("2026-12-06T21:00:00Z")))
                    .isFalse();
            assertThat(nightHours.isOpenAt(Instant.parse("2026-12-07T01:00:00Z")))
                    .isFalse();
        }
    }
}
