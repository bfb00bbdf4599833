package io.oleandermoor.transport.settings;

import io.oleandermoor.state.identity.KeyHash;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * One setting of a process: its name, the form of its value, and what it means. Immutable and safe for use by several
 * threads.
 *
 * @param <T> the type of the value in Java
 */
public final class Setting<T> {

    private final String name;
    private final SettingType<T> type;
    private final String description;
    private final @Nullable String defaultText;
    private final boolean required;
    private final boolean listening;

    private Setting(
            String name,
            SettingType<T> type,
            String description,
            @Nullable String defaultText,
            boolean required,
            boolean listening) {
        this.name = Objects.requireNonNull(name, "name");
        this.type = type;
        this.description = Objects.requireNonNull(description, "description");
        this.defaultText = defaultText;
        this.required = required;
        this.listening = listening;
        if (!name.matches("[a-z-]+\\.[a-z-]+")) {
            throw new IllegalArgumentException("name '" + name + "' must be section.key in small letters");
        }
        if (defaultText != null) {
            type.parse(defaultText);
        }
    }

    private static <T> Setting<T> of(String name, SettingType<T> type, String description) {
        return new Setting<>(name, type, description, null, true, false);
    }

    /**
     * Returns a required setting whose value is a duration such as {@code 500ms}.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Duration> duration(String name, String description) {
        return of(name, SettingTypes.DURATION, description);
    }

    /**
     * Returns a required setting whose value is a number of bytes such as {@code 64MB}.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Long> size(String name, String description) {
        return of(name, SettingTypes.SIZE, description);
    }

    /**
     * Returns a required setting whose value is the address of another process.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Address> address(String name, String description) {
        return of(name, SettingTypes.ADDRESS, description);
    }

    /**
     * Returns a required setting whose value is a list of addresses of other processes.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<List<Address>> addresses(String name, String description) {
        return of(name, SettingTypes.ADDRESSES, description);
    }

    /**
     * Returns a required setting whose value is an address on which the process listens. Two of these must not have the
     * same port.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Address> listenAddress(String name, String description) {
        return new Setting<>(name, SettingTypes.ADDRESS, description, null, true, true);
    }

    /**
     * Returns a required setting whose value is a whole number.
     *
     * @param name {@code section.key}
     * @param minimum the least value, not negative
     * @param maximum the largest value
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Integer> count(String name, int minimum, int maximum, String description) {
        return of(name, SettingTypes.count(minimum, maximum), description);
    }

    /**
     * Returns a required setting whose value is a number that is not negative, with or without a fraction.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Double> decimal(String name, String description) {
        return of(name, SettingTypes.decimal(), description);
    }

    /**
     * Returns a required setting whose value is the name of a constant.
     *
     * @param <E> the enum
     * @param name {@code section.key}
     * @param type the enum
     * @param description one sentence
     * @return the setting
     */
    public static <E extends Enum<E>> Setting<E> choice(String name, Class<E> type, String description) {
        return of(name, SettingTypes.choice(type), description);
    }

    /**
     * Returns a required setting whose value is a list of names of constants, which may be empty.
     *
     * @param <E> the enum
     * @param name {@code section.key}
     * @param type the enum
     * @param description one sentence
     * @return the setting
     */
    public static <E extends Enum<E>> Setting<Set<E>> choices(String name, Class<E> type, String description) {
        return of(name, SettingTypes.choices(type), description);
    }

    /**
     * Returns a required setting whose value is an identifier.
     *
     * @param <T> the type of the identifier
     * @param name {@code section.key}
     * @param type creates the identifier and throws {@link IllegalArgumentException} for a wrong one
     * @param description one sentence
     * @return the setting
     */
    public static <T> Setting<T> identifier(String name, Function<String, T> type, String description) {
        return of(name, SettingTypes.identifier(type), description);
    }

    /**
     * Returns a required setting whose value is any text.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<String> text(String name, String description) {
        return of(name, SettingTypes.TEXT, description);
    }

    /**
     * Returns a required setting whose value is a table of texts such as {@code [a:x, b:y]}, which may be empty.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<Map<String, String>> table(String name, String description) {
        return of(name, SettingTypes.TABLE, description);
    }

    /**
     * Returns a required setting whose value is the SHA-256 of a credential. It is shown only in part.
     *
     * @param name {@code section.key}
     * @param description one sentence
     * @return the setting
     */
    public static Setting<KeyHash> hash(String name, String description) {
        return of(name, SettingTypes.HASH, description);
    }

    /**
     * Returns this setting with a value that applies when none is given.
     *
     * @param text the text of the value
     * @return the setting with the default
     */
    public Setting<T> defaultingTo(String text) {
        return new Setting<>(name, type, description, Objects.requireNonNull(text, "text"), false, listening);
    }

    /**
     * Returns this setting as one that may be absent and has no default.
     *
     * @return the optional setting
     */
    public Setting<T> optional() {
        return new Setting<>(name, type, description, null, false, listening);
    }

    /**
     * Returns the name.
     *
     * @return {@code section.key}
     */
    public String name() {
        return name;
    }

    /**
     * Returns what the setting means.
     *
     * @return one sentence
     */
    public String description() {
        return description;
    }

    /**
     * Returns the text of the value that applies when none is given.
     *
     * @return the text, or empty if there is no default
     */
    public Optional<String> defaultText() {
        return Optional.ofNullable(defaultText);
    }

    /**
     * Returns whether a value must be given.
     *
     * @return true if the process cannot start without it
     */
    public boolean isRequired() {
        return required;
    }

    String section() {
        return name.substring(0, name.indexOf('.'));
    }

    String key() {
        return name.substring(name.indexOf('.') + 1);
    }

    String form() {
        return type.form();
    }

    boolean isListening() {
        return listening;
    }

    T parse(String text) {
        return type.parse(text);
    }

    String show(T value) {
        return type.show(value);
    }

    /** Returns the name. */
    @Override
    public String toString() {
        return name;
    }
}
