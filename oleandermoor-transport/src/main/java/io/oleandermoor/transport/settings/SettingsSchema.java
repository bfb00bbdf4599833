package io.oleandermoor.transport.settings;

import io.oleandermoor.state.finding.Findings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** The settings of one role. Immutable and safe for use by several threads. */
public final class SettingsSchema {

    private final String role;
    private final String description;
    private final Map<String, Setting<?>> settings;
    private final List<Rule> rules;

    private SettingsSchema(Builder builder) {
        role = builder.role;
        description = builder.description;
        settings = Collections.unmodifiableMap(new LinkedHashMap<>(builder.settings));
        rules = List.copyOf(builder.rules);
    }

    /** A check of several settings together. */
    @FunctionalInterface
    public interface Rule {

        /**
         * Checks the settings. Called only when each of them is valid by itself.
         *
         * @param settings the settings
         * @param findings receives the problems, with the name of a setting as place
         */
        void check(Settings settings, Findings findings);
    }

    /**
     * Starts a schema.
     *
     * @param role the name of the role, as in {@code oleandermoor run}
     * @param description what the process does, in one sentence
     * @return a builder
     */
    public static Builder builder(String role, String description) {
        return new Builder(role, description);
    }

    /**
     * Returns the name of the role.
     *
     * @return the name, as in {@code oleandermoor run}
     */
    public String role() {
        return role;
    }

    /**
     * Returns what the process does.
     *
     * @return one sentence
     */
    public String description() {
        return description;
    }

    /**
     * Returns the settings.
     *
     * @return the settings in the order in which they are documented
     */
    public List<Setting<?>> settings() {
        return List.copyOf(settings.values());
    }

    /**
     * Returns the setting of a name.
     *
     * @param name {@code section.key}
     * @return the setting, or empty if the role has none of that name
     */
    public Optional<Setting<?>> setting(String name) {
        return Optional.ofNullable(settings.get(name));
    }

    List<Rule> rules() {
        return rules;
    }

    /** Builds a schema. Not safe for use by several threads. */
    public static final class Builder {

        private final String role;
        private final String description;
        private final Map<String, Setting<?>> settings = new LinkedHashMap<>();
        private final List<Rule> rules = new ArrayList<>();

        private Builder(String role, String description) {
            this.role = Objects.requireNonNull(role, "role");
            this.description = Objects.requireNonNull(description, "description");
        }

        /**
         * Adds settings.
         *
         * @param added the settings, each with a name of its own
         * @return this builder
         */
        public Builder with(Setting<?>... added) {
            for (Setting<?> setting : added) {
                if (settings.putIfAbsent(setting.name(), setting) != null) {
                    throw new IllegalArgumentException("setting " + setting.name() + " is added twice");
                }
            }
            return this;
        }

        /**
         * Adds a check of several settings together.
         *
         * @param rule the check
         * @return this builder
         */
        public Builder rule(Rule rule) {
            rules.add(Objects.requireNonNull(rule, "rule"));
            return this;
        }

        /**
         * Returns the schema.
         *
         * @return the schema
         */
        public SettingsSchema build() {
            return new SettingsSchema(this);
        }
    }
}
