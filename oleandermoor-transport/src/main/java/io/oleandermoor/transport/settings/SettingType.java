package io.oleandermoor.transport.settings;

/**
 * The form of a value in a settings file.
 *
 * @param <T> the type of the value in Java
 */
interface SettingType<T> {

    /** Returns the value of a text. Throws {@link IllegalArgumentException} with what is expected if it has none. */
    T parse(String text);

    /** Returns the form as it is documented, such as {@code duration}. */
    String form();

    /** Returns a text of the value that may be shown. */
    String show(T value);
}
