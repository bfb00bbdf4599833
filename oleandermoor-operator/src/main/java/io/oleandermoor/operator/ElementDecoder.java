package io.oleandermoor.operator;

import io.oleandermoor.state.configuration.Access;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.AdmissionSettings;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.FleetSettings;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.OpeningHours;
import io.oleandermoor.state.configuration.Repeatability;
import io.oleandermoor.state.configuration.Route;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.configuration.WeightStoreLimits;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.TeamName;
import java.time.DayOfWeek;

/** Decodes the elements of a configuration from the fields of JSON objects. */
final class ElementDecoder {

    private static final long DEFAULT_WEIGHT = 1;
    private static final long DEFAULT_COPIES = 1;

    private ElementDecoder() {}

    static Team team(ObjectFields fields) {
        return new Team(
                fields.identifier("name", TeamName::new),
                fields.number("rate", null),
                fields.number("burst", null),
                fields.smallNumber("weight", DEFAULT_WEIGHT));
    }

    static ApiKey key(ObjectFields fields) {
        String id = identifierText(fields, "id");
        return new ApiKey(
                id, fields.identifier("team", TeamName::new), fields.value("hash", KeyHash::new, KeyHash.of(id)));
    }

    static Model model(ObjectFields fields) {
        return new Model(
                fields.identifier("name", ModelName::new),
                identifierText(fields, "version"),
                fields.number("memoryMegabytes", null),
                fields.smallNumber("minimumCopies", DEFAULT_COPIES));
    }

    static Adapter adapter(ObjectFields fields) {
        return new Adapter(
                fields.identifier("name", AdapterName::new),
                fields.identifier("model", ModelName::new),
                identifierText(fields, "version"),
                fields.number("memoryMegabytes", null));
    }

    static Route route(ObjectFields fields) {
        long maximumBodyBytes = fields.number("maximumBodyBytes", Route.DEFAULT_MAXIMUM_BODY_BYTES);
        if (maximumBodyBytes == 0) {
            fields.error("maximumBodyBytes", "must be positive but is 0");
        }
        return new Route(
                fields.identifier("name", RouteName::new),
                fields.text("method"),
                fields.text("path"),
                fields.identifier("service", ServiceName::new),
                fields.constant("access", Access.class),
                fields.constant("repeatability", Repeatability.class),
                fields.flag("idempotencyKeyRequired", false),
                maximumBodyBytes);
    }

    static FleetSettings settings(ObjectFields fields) {
        return new FleetSettings(
                fields.optionalObject("admission", ElementDecoder::admission).orElse(null),
                fields.optionalObject("weightStore", ElementDecoder::weightStore)
                        .orElse(null),
                fields.objects("openingHours", ElementDecoder::openingHours));
    }

    static AdmissionSettings admission(ObjectFields fields) {
        AdmissionSettings defaults = AdmissionSettings.DEFAULT;
        return new AdmissionSettings(
                fields.text("policy", defaults.policy()),
                fields.smallNumber("worstServedWeight", (long) defaults.worstServedWeight()),
                fields.smallNumber("refusalWeight", (long) defaults.refusalWeight()),
                fields.smallNumber("batchSharePercent", (long) defaults.batchSharePercent()));
    }

    static WeightStoreLimits weightStore(ObjectFields fields) {
        return new WeightStoreLimits(
                fields.number("loadsPerThousandSeconds", null),
                fields.smallNumber("concurrentLoads", null),
                fields.smallNumber("adapterLoadsInFlight", null));
    }

    static OpeningHours openingHours(ObjectFields fields) {
        return new OpeningHours(
                identifierText(fields, "group"),
                fields.identifiers("teams", TeamName::new),
                fields.text("opens"),
                fields.text("closes"),
                fields.text("zone"),
                fields.constants("closedDays", DayOfWeek.class));
    }

    /** Returns a text that must have the form of an identifier but has no type of its own. */
    static String identifierText(ObjectFields fields, String name) {
        return fields.identifier(name, text -> {
            if (!Identifiers.isValid(text)) {
                throw new IllegalArgumentException("'" + text + "' must start with a letter or digit and have at most "
                        + Identifiers.MAXIMUM_LENGTH + " letters, digits or . _ : / -");
            }
            return text;
        });
    }
}
