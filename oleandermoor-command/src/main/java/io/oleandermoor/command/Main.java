package io.oleandermoor.command;

import io.oleandermoor.daemon.agent.AgentDaemon;
import io.oleandermoor.daemon.agent.AgentSettings;
import io.oleandermoor.daemon.entry.EntryDaemon;
import io.oleandermoor.daemon.entry.EntrySettings;
import io.oleandermoor.standin.engine.EngineSettings;
import io.oleandermoor.standin.engine.EngineStandIn;
import io.oleandermoor.standin.platform.InstanceListStandIn;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Entry point of the {@code oleandermoor} command line. */
public final class Main {

    private Main() {}

    /**
     * Runs one command.
     *
     * @param arguments the role and the settings file
     * @throws IOException if the file cannot be read or an address cannot be bound
     * @throws ConfigurationException if the file is not in INI format
     * @throws InterruptedException if the wait for the end is interrupted
     */
    public static void main(String[] arguments) throws IOException, ConfigurationException, InterruptedException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(Path.of(arguments[1]))) {
            ini.read(reader);
        }
        AutoCloseable running = start(arguments[0], ini);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(running)));
        Thread.currentThread().join();
    }

    private static AutoCloseable start(String role, INIConfiguration ini) throws IOException {
        switch (role) {
            case "entry" -> {
                EntryDaemon entry = new EntryDaemon(new EntrySettings(
                        ini.getString("instance.id"),
                        ini.getString("instance.failure-domain"),
                        ini.getString("listen.callers"),
                        ini.getString("listen.administration"),
                        ini.getString("listen.peers"),
                        ini.getString("platform.instance-list"),
                        ini.getString("platform.key-value-service")));
                entry.start();
                return entry;
            }
            case "agent" -> {
                AgentDaemon agent = new AgentDaemon(new AgentSettings(
                        ini.getString("instance.id"),
                        ini.getString("instance.failure-domain"),
                        ini.getString("listen.peers"),
                        ini.getString("listen.administration"),
                        ini.getString("platform.instance-list"),
                        new AgentSettings.Upstream(
                                ini.getString("upstream.id"),
                                ini.getString("upstream.address"),
                                ini.getString("upstream.service", ""),
                                ini.getInt("upstream.slots"))));
                agent.start();
                return agent;
            }
            case "engine" -> {
                return new EngineStandIn(
                        engineSettings(ini), () -> Runtime.getRuntime().halt(70));
            }
            case "instance-list" -> {
                return new InstanceListStandIn(
                        ini.getString("listen.http"), Files.readString(Path.of(ini.getString("list.file"))), 2000);
            }
            default -> throw new IOException("unknown role " + role);
        }
    }

    private static EngineSettings engineSettings(INIConfiguration ini) {
        return new EngineSettings(
                ini.getString("listen.http"),
                List.of(ini.getString("engine.models", "").trim().split(" +")),
                ini.getLong("engine.memory-megabytes", 1000),
                java.util.Map.of(),
                new EngineSettings.Batch(ini.getInt("engine.slots"), ini.getInt("engine.step-millis"), 512),
                ini.getBoolean("engine.fencing", true),
                ini.getString("engine.weight-store", ""));
    }

    private static void close(AutoCloseable running) {
        try {
            running.close();
        } catch (Exception exception) {
            System.err.println("event=stop_failed reason=\"" + exception + "\"");
        }
    }
}
