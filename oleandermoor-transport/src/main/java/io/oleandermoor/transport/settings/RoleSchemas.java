package io.oleandermoor.transport.settings;

import java.util.List;
import java.util.Optional;

/** The schemas of all roles. */
public final class RoleSchemas {

    private static final List<SettingsSchema> ALL = List.of(
            EntrySettings.SCHEMA,
            AgentSettings.SCHEMA,
            StandinSettings.ENGINE,
            StandinSettings.SERVICE,
            StandinSettings.WEIGHT_STORE,
            StandinSettings.KEY_VALUE_SERVICE,
            StandinSettings.INSTANCE_LIST);

    private RoleSchemas() {}

    /**
     * Returns all schemas.
     *
     * @return the schemas, daemons first
     */
    public static List<SettingsSchema> all() {
        return ALL;
    }

    /**
     * Returns the schema of a role.
     *
     * @param role the name of the role
     * @return the schema, or empty if there is no such role
     */
    public static Optional<SettingsSchema> of(String role) {
        return ALL.stream().filter(schema -> schema.role().equals(role)).findFirst();
    }
}
