package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DayOfWeek;

/** Sets the hours of live demand of a group of teams. Not safe for use by several threads. */
public final class OpeningHoursStep extends DeploymentSteps {

    private final ObjectNode element;

    OpeningHoursStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Adds a team to the group.
     *
     * @param team the name of a team in the same document
     * @return these steps
     */
    public OpeningHoursStep member(String team) {
        list(element, "teams").add(team);
        return this;
    }

    /**
     * Sets the local time of opening.
     *
     * @param opens the time as {@code HH:mm}
     * @return these steps
     */
    public OpeningHoursStep opens(String opens) {
        element.put("opens", opens);
        return this;
    }

    /**
     * Sets the local time of closing.
     *
     * @param closes the time as {@code HH:mm}; before the time of opening for hours past midnight
     * @return these steps
     */
    public OpeningHoursStep closes(String closes) {
        element.put("closes", closes);
        return this;
    }

    /**
     * Sets the time zone.
     *
     * @param zone the zone, such as {@code Europe/London}
     * @return these steps
     */
    public OpeningHoursStep zone(String zone) {
        element.put("zone", zone);
        return this;
    }

    /**
     * Adds a day on which the group does not open.
     *
     * @param day the day
     * @return these steps
     */
    public OpeningHoursStep closedOn(DayOfWeek day) {
        list(element, "closedDays").add(day.name());
        return this;
    }
}
