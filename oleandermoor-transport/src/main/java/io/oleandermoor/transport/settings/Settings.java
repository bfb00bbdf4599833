package io.oleandermoor.transport.settings;

import java.util.Map;
import java.util.Optional;

/** The settings in force of one process. Immutable and safe for use by several threads. */
public final class Settings {

    private final SettingsSchema schema;
    private final Map<String, Entry<?>> entries;

    Settings(SettingsSchema schema, Map<String, Entry<?>> entries) {
        this.schema = schema;
        this.entries = Map.copyOf(entries);
    }

    /** A value and where it came from. */
    record Entry<T>(Setting<T> setting, T value, String origin) {

        String shown() {
            return setting.show(value);
        }
    }

    /**
     * Returns a value that is required or has a default.
     *
     * @param <T> the type of the value
     * @param setting a setting of the schema
     * @return the value
     * @throws IllegalArgumentException if the setting is optional and absent, or not part of the schema
     */
    public <T> T get(Setting<T> setting) {
        return find(setting).orElseThrow(() -> new IllegalArgumentException(setting.name() + " has no value"));
    }

    /**
     * Returns a value that may be absent.
     *
     * @param <T> the type of the value
     * @param setting a setting of the schema
     * @return the value, or empty if none was given
     * @throws IllegalArgumentException if the setting is not part of the schema
     */
    @SuppressWarnings("unchecked")
    public <T> Optional<T> find(Setting<T> setting) {
        if (schema.setting(setting.name()).filter(own -> own == setting).isEmpty()) {
            throw new IllegalArgumentException(setting.name() + " is not a setting of role " + schema.role());
        }
        // The entry was created from the same setting, so its value has the type of the setting.
        return Optional.ofNullable((Entry<T>) entries.get(setting.name())).map(Entry::value);
    }

    /**
     * Returns the settings in force in the form of a settings file, each with the place that it came from as a comment.
     * Hashes of credentials are shortened, so the text is for reading and not for starting a process.
     *
     * @return the text, with a line break at its end
     */
    public String print() {
        StringBuilder text = new StringBuilder();
        String section = "";
        for (Setting<?> setting : schema.settings()) {
            if (!setting.section().equals(section)) {
                text.append(section.isEmpty() ? "" : "\n");
                section = setting.section();
                text.append('[').append(section).append("]\n");
            }
            Entry<?> entry = entries.get(setting.name());
            if (entry == null) {
                text.append("# ").append(setting.key()).append(" is not set\n");
            } else {
                text.append("# ").append(entry.origin()).append(":\n");
                text.append(setting.key()).append(" = ").append(entry.shown()).append('\n');
            }
        }
        return text.toString();
    }

    String origin(String name) {
        Entry<?> entry = entries.get(name);
        return entry == null ? name : entry.origin() + " " + name;
    }

    SettingsSchema schema() {
        return schema;
    }

    Map<String, Entry<?>> entries() {
        return entries;
    }
}
