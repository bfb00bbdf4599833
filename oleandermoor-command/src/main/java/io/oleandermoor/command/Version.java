package io.oleandermoor.command;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The version of the program. */
final class Version {

    private static final String RESOURCE = "/META-INF/maven/io.oleandermoor/oleandermoor-command/pom.properties";

    private Version() {}

    /** Returns the version that the build wrote into the jar, or a remark when the program runs from classes. */
    static String text() {
        try (InputStream stream = Version.class.getResourceAsStream(RESOURCE)) {
            if (stream == null) {
                return "(development build)";
            }
            Properties properties = new Properties();
            properties.load(stream);
            return properties.getProperty("version", "(unknown version)");
        } catch (IOException exception) {
            return "(unreadable version)";
        }
    }
}
