package io.oleandermoor.state.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.oleandermoor.state.identity.TeamName;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The daily hours during which a group of teams has live demand. Outside these hours the placement forecast expects
 * batch work only. If the closing time is before the opening time, the hours extend past midnight and belong to the day
 * on which they open.
 *
 * @param group the name of the group
 * @param teams the teams of the group
 * @param opens local opening time as {@code HH:mm}
 * @param closes local closing time as {@code HH:mm}, exclusive
 * @param zone the time zone of both times, such as {@code Europe/London}
 * @param closedDays days on which the group does not open
 */
public record OpeningHours(
        String group, List<TeamName> teams, String opens, String closes, String zone, List<DayOfWeek> closedDays) {

    private static final Pattern TIME_PATTERN = Pattern.compile("([01][0-9]|2[0-3]):[0-5][0-9]");

    /** Copies the lists and replaces a missing list by an empty one. */
    public OpeningHours(
            @JsonProperty("group") String group,
            @JsonProperty("teams") @Nullable List<TeamName> teams,
            @JsonProperty("opens") String opens,
            @JsonProperty("closes") String closes,
            @JsonProperty("zone") String zone,
            @JsonProperty("closedDays") @Nullable List<DayOfWeek> closedDays) {
        this.group = group;
        this.teams = teams == null ? List.of() : List.copyOf(teams);
        this.opens = opens;
        this.closes = closes;
        this.zone = zone;
        this.closedDays = closedDays == null ? List.of() : List.copyOf(closedDays);
    }

    /**
     * Returns whether a text is a time of day in the format {@code HH:mm}.
     *
     * @param text the text
     * @return true for {@code 00:00} to {@code 23:59}
     */
    public static boolean isValidTime(String text) {
        return TIME_PATTERN.matcher(text).matches();
    }

    /**
     * Returns whether a text is the identifier of a time zone that the Java runtime knows.
     *
     * @param text the text
     * @return true if the zone is known
     */
    public static boolean isKnownZone(String text) {
        return ZoneId.getAvailableZoneIds().contains(text);
    }

    /**
     * Returns whether the group is open. The hours must have passed {@link ConfigurationValidator}.
     *
     * @param time the wall-clock time
     * @return true from the opening time, inclusive, to the closing time, exclusive
     */
    public boolean isOpenAt(Instant time) {
        ZonedDateTime local = time.atZone(ZoneId.of(zone));
        LocalTime opening = LocalTime.parse(opens);
        LocalTime closing = LocalTime.parse(closes);
        LocalTime now = local.toLocalTime();
        DayOfWeek today = local.getDayOfWeek();
        if (opening.isBefore(closing)) {
            return opensOn(today) && !now.isBefore(opening) && now.isBefore(closing);
        }
        return (opensOn(today) && !now.isBefore(opening)) || (opensOn(today.minus(1)) && now.isBefore(closing));
    }

    private boolean opensOn(DayOfWeek day) {
        return !closedDays.contains(day);
    }
}
