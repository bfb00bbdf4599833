package io.oleandermoor.gateway;

import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/** Runs an entry on the platform until a signal stops it. */
public final class GatewayMain {

    private static final String SETTINGS_VARIABLE = "OLEANDERMOOR_SETTINGS";
    private static final int INVALID_SETTINGS_EXIT_CODE = 2;

    /** Status of a process whose event loop no longer runs. */
    private static final int EVENT_LOOP_EXIT_CODE = 70;

    private static final Logger LOG = LogManager.getLogger(GatewayMain.class);
    private static final String HANGUP_SIGNAL = "HUP";
    private static final String DRY_RUN_OPTION = "--dry-run";

    private GatewayMain() {}

    /**
     * Reads the settings and starts the entry.
     *
     * @param arguments none, or the path of the settings file, which overrides the environment variable, or
     *     {@code --dry-run} to start once without a platform and exit
     */
    public static void main(String[] arguments) {
        if (arguments.length == 1 && arguments[0].equals(DRY_RUN_OPTION)) {
            runReportingErrors(GatewayMain::runDryRun);
            return;
        }
        Timestamp.processStart();
        String path = arguments.length > 0 ? arguments[0] : System.getenv(SETTINGS_VARIABLE);
        if (path == null) {
            System.err.println("oleandermoor: " + SETTINGS_VARIABLE + " must hold the path of the settings file");
            System.exit(INVALID_SETTINGS_EXIT_CODE);
            return;
        }
        runReportingErrors(() -> serve(path));
    }

    /** An action that may fail with findings or an I/O error. */
    @FunctionalInterface
    private interface Action {

        void run() throws IOException, InvalidInputException;
    }

    private static void runReportingErrors(Action action) {
        try {
            action.run();
        } catch (InvalidInputException exception) {
            exception.findings().forEach(System.err::println);
            System.exit(INVALID_SETTINGS_EXIT_CODE);
        } catch (IOException exception) {
            System.err.println("oleandermoor: " + exception);
            System.exit(INVALID_SETTINGS_EXIT_CODE);
        }
    }

    private static void serve(String path) throws IOException, InvalidInputException {
        ignoreHangups();
        Settings settings = new SettingsReader(GatewaySettings.SCHEMA).read(Path.of(path), List.of());
        Gateway gateway = new Gateway(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
        gateway.start();
        gateway.listen();
        // Not an exit, because the stop of the entry needs its event loop.
        gateway.eventLoopCheck().start(() -> Runtime.getRuntime().halt(EVENT_LOOP_EXIT_CODE));
    }

    /**
     * Ignores hangups, which announce changed settings; by default a hangup would terminate the process with all
     * requests.
     */
    private static void ignoreHangups() {
        Signal.handle(
                new Signal(HANGUP_SIGNAL),
                signal -> LOG.warn("event=hangup settings=\"changes take effect at a restart\""));
    }

    private static void runDryRun() throws IOException, InvalidInputException {
        DryRun.run();
        System.exit(0);
    }
}
