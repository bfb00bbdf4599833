package io.oleandermoor.transport.settings;

import java.util.List;

/** Prints the reference page of the settings, {@code docs/settings.md}. */
public final class SettingsPage {

    private static final String INTRODUCTION = """
            # Settings

            Each process reads one INI file: `oleandermoor run ROLE FILE [section.key=value ...]`. A value on the command
            line replaces the one of the file. `oleandermoor check-settings ROLE FILE [section.key=value ...]` reports
            everything that is wrong, with file and line, or prints the settings in force and where each came from.

            A comment starts with `#` or `;` on a line of its own. Unknown settings, values without a unit, missing
            required settings, settings given twice and two listening addresses with the same port are errors.

            This page is printed by `io.oleandermoor.transport.settings.SettingsPage`; a test compares them.
            """;

    private SettingsPage() {}

    /**
     * Prints the page on standard output.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        System.out.print(print(RoleSchemas.all()));
    }

    /**
     * Returns the page.
     *
     * @param schemas the schemas to describe
     * @return the page as Markdown
     */
    public static String print(List<SettingsSchema> schemas) {
        StringBuilder page = new StringBuilder(INTRODUCTION);
        for (SettingsSchema schema : schemas) {
            page.append("\n## ")
                    .append(schema.role())
                    .append("\n\n")
                    .append(schema.description())
                    .append("\n\n");
            page.append("| setting | form | default | meaning |\n| --- | --- | --- | --- |\n");
            for (Setting<?> setting : schema.settings()) {
                page.append("| `")
                        .append(setting.name())
                        .append("` | ")
                        .append(setting.form())
                        .append(" | ");
                page.append(setting.defaultText()
                        .map(text -> "`" + text + "`")
                        .orElse(setting.isRequired() ? "required" : "none"));
                page.append(" | ").append(setting.description()).append(" |\n");
            }
        }
        return page.toString();
    }
}
