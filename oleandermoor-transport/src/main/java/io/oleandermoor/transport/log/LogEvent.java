package io.oleandermoor.transport.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Builds one log line of key=value pairs for one event. Values with spaces, quotes or equals signs are quoted. */
public final class LogEvent {

    private final StringBuilder line = new StringBuilder(128);

    private LogEvent(String name) {
        line.append("event=").append(name);
    }

    /**
     * Starts a line.
     *
     * @param name the name of the event in lower case with underscores
     * @return the builder
     */
    public static LogEvent of(String name) {
        return new LogEvent(name);
    }

    /**
     * Adds a pair.
     *
     * @param key the key
     * @param value the value, of which the text form is written
     * @return this
     */
    public LogEvent with(String key, @Nullable Object value) {
        line.append(' ').append(key).append('=');
        append(String.valueOf(value));
        return this;
    }

    /**
     * Writes the line.
     *
     * @param logger the logger
     * @param level the level
     */
    public void write(Logger logger, Level level) {
        logger.log(level, line);
    }

    /**
     * Writes the line at level DEBUG.
     *
     * @param logger the logger
     */
    public void debug(Logger logger) {
        write(logger, Level.DEBUG);
    }

    /**
     * Writes the line at level INFO.
     *
     * @param logger the logger
     */
    public void info(Logger logger) {
        write(logger, Level.INFO);
    }

    /**
     * Writes the line at level WARN.
     *
     * @param logger the logger
     */
    public void warn(Logger logger) {
        write(logger, Level.WARN);
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private void append(String text) {
        if (isPlain(text)) {
            line.append(text);
            return;
        }
        line.append('"');
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '"' || character == '\\') {
                line.append('\\').append(character);
            } else if (character < ' ') {
                line.append(' ');
            } else {
                line.append(character);
            }
        }
        line.append('"');
    }

    private static boolean isPlain(String text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character <= ' ' || character == '"' || character == '=' || character == '\\') {
                return false;
            }
        }
        return !text.isEmpty();
    }
}
