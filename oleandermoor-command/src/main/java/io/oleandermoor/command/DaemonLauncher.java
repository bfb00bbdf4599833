package io.oleandermoor.command;

import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsSchema;
import java.io.IOException;

/** Starts the process of one role. */
public interface DaemonLauncher {

    /**
     * Returns the settings of the role. The name of the role is that of the schema.
     *
     * @return the schema
     */
    SettingsSchema schema();

    /**
     * Runs the process until it has stopped.
     *
     * @param settings the settings in force
     * @return the exit status
     * @throws CommandFailedException if the process could not start
     * @throws IOException if an address cannot be used
     */
    ExitCode launch(Settings settings) throws CommandFailedException, IOException;
}
