package io.oleandermoor.transport.settings;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.jspecify.annotations.Nullable;

/**
 * Reads the settings of one role from an INI file and from overrides, and reports everything that is wrong together.
 * Immutable and safe for use by several threads.
 */
public final class SettingsReader {

    private static final String OVERRIDE = "command line";

    private final SettingsSchema schema;

    /**
     * Creates a reader.
     *
     * @param schema the settings of the role
     */
    public SettingsReader(SettingsSchema schema) {
        this.schema = Objects.requireNonNull(schema, "schema");
    }

    /** A text that was given for a setting. */
    private record Given(String text, String origin) {}

    /**
     * Reads a file.
     *
     * @param file the file, in UTF-8
     * @param overrides values in the form {@code section.key=value}, which replace those of the file
     * @return the settings in force
     * @throws IOException if the file cannot be read
     * @throws InvalidInputException if the settings have errors; carries all of them
     */
    public Settings read(Path file, List<String> overrides) throws IOException, InvalidInputException {
        String text;
        try {
            text = Files.readString(file);
        } catch (CharacterCodingException exception) {
            throw new IOException(file + " is not a text in UTF-8", exception);
        }
        return read(Objects.requireNonNull(file.getFileName(), "file").toString(), text, overrides);
    }

    /**
     * Reads a text.
     *
     * @param name the name by which findings refer to the text
     * @param text the content of an INI file
     * @param overrides values in the form {@code section.key=value}, which replace those of the text
     * @return the settings in force
     * @throws InvalidInputException if the settings have errors; carries all of them
     */
    public Settings read(String name, String text, List<String> overrides) throws InvalidInputException {
        Findings findings = new Findings();
        Map<String, Given> given = new LinkedHashMap<>();
        readText(name, text, given, findings);
        readOverrides(overrides, given, findings);
        Map<String, Settings.Entry<?>> entries = new HashMap<>();
        for (Setting<?> setting : schema.settings()) {
            Given value = given.remove(setting.name());
            readSetting(setting, value, entries, findings);
        }
        given.forEach((unknown, value) ->
                findings.error(value.origin() + " " + unknown, "is not a setting of role " + schema.role()));
        Settings settings = new Settings(schema, entries);
        checkClashes(settings, findings);
        findings.throwIfErrors();
        checkRules(settings, findings);
        findings.throwIfErrors();
        return settings;
    }

    private static void readText(String name, String text, Map<String, Given> given, Findings findings) {
        INIConfiguration configuration = new INIConfiguration();
        configuration.setSeparatorUsedInInput("=");
        try {
            configuration.read(new StringReader(text));
        } catch (ConfigurationException | IOException exception) {
            findings.error(name, "cannot be read: " + exception.getMessage());
            return;
        }
        LineIndex lines = new LineIndex(text);
        Set<String> sections = configuration.getSections();
        for (String section : sections) {
            SubnodeConfiguration content = configuration.getSection(section);
            Iterator<ImmutableNode> nodes =
                    content.getNodeModel().getNodeHandler().getRootNode().iterator();
            while (nodes.hasNext()) {
                ImmutableNode node = nodes.next();
                // The part of the file before the first section is returned together with the sections.
                if (section == null && sections.contains(node.getNodeName())) {
                    continue;
                }
                String setting = Objects.requireNonNullElse(section, "") + "." + node.getNodeName();
                String origin = lines.place(name, setting);
                String value = Objects.toString(node.getValue(), "").strip();
                if (given.put(setting, new Given(value, origin)) != null) {
                    findings.error(origin + " " + setting, "is given twice");
                }
            }
        }
    }

    private static void readOverrides(List<String> overrides, Map<String, Given> given, Findings findings) {
        for (String override : overrides) {
            int separator = override.indexOf('=');
            if (separator <= 0) {
                findings.error(OVERRIDE, "'" + override + "' must have the form section.key=value");
                continue;
            }
            given.put(
                    override.substring(0, separator).strip(),
                    new Given(override.substring(separator + 1).strip(), OVERRIDE));
        }
    }

    private static <T> void readSetting(
            Setting<T> setting, @Nullable Given given, Map<String, Settings.Entry<?>> entries, Findings findings) {
        if (given != null) {
            try {
                if (given.text().isEmpty()) {
                    throw new IllegalArgumentException("has no value");
                }
                T value = setting.parse(given.text());
                entries.put(setting.name(), new Settings.Entry<>(setting, value, given.origin()));
            } catch (IllegalArgumentException exception) {
                findings.error(given.origin() + " " + setting.name(), String.valueOf(exception.getMessage()));
            }
            return;
        }
        if (setting.isRequired()) {
            findings.error(
                    setting.name(), "is missing; it is the " + setting.form() + " for: " + setting.description());
        }
        setting.defaultText()
                .ifPresent(text ->
                        entries.put(setting.name(), new Settings.Entry<>(setting, setting.parse(text), "default")));
    }

    private static void checkClashes(Settings settings, Findings findings) {
        List<Settings.Entry<?>> seen = new ArrayList<>();
        for (Setting<?> setting : settings.schema().settings()) {
            Settings.Entry<?> entry = settings.entries().get(setting.name());
            if (!setting.isListening() || entry == null || !(entry.value() instanceof Address address)) {
                continue;
            }
            for (Settings.Entry<?> other : seen) {
                if (other.value() instanceof Address otherAddress && address.clashesWith(otherAddress)) {
                    findings.error(
                            settings.origin(setting.name()),
                            address + " clashes with " + otherAddress + " of "
                                    + settings.origin(other.setting().name()));
                }
            }
            seen.add(entry);
        }
    }

    private static void checkRules(Settings settings, Findings findings) {
        Findings broken = new Findings();
        settings.schema().rules().forEach(rule -> rule.check(settings, broken));
        broken.list().forEach(finding -> findings.error(settings.origin(finding.place()), finding.message()));
    }
}
