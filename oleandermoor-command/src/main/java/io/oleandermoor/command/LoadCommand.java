package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.oleandermoor.standin.load.LoadGenerator;
import io.oleandermoor.standin.load.LoadPlan;
import io.oleandermoor.standin.load.LoadResult;
import io.oleandermoor.transport.settings.Address;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** Sends requests to a deployment of stand-ins on loopback and checks the answers. */
@Command(name = "load", description = "Sends requests to entries on loopback and checks each answer token by token")
public final class LoadCommand implements CommandAction {

    @Option(name = "--entry", title = "ip:port", description = "Address of an entry on loopback; can be repeated")
    private List<String> entries = new ArrayList<>();

    @Option(
            name = "--direct",
            title = "ip:port",
            description = "Address of an engine stand-in on loopback that receives every second request directly")
    private @Nullable String direct;

    @Option(name = "--models", title = "names", description = "Models to choose from, separated by commas")
    private String models = "model-1";

    @Option(name = "--keys", title = "keys", description = "Keys of the teams to choose from, separated by commas")
    private String keys = "key-drafting";

    @Option(name = "--seed", title = "number", description = "Seed of all random choices")
    private long seed = 1;

    @Option(name = "--rate", title = "requests/s", description = "Mean number of requests per second")
    private double rate = 10;

    @Option(name = "--requests", title = "number", description = "Largest number of requests")
    private int requests = 100;

    @Option(name = "--seconds", title = "number", description = "Longest time in which requests are sent")
    private int seconds = 60;

    @Option(name = "--in-flight", title = "number", description = "Largest number of open requests")
    private int inFlight = 500;

    @Option(name = "--streams", title = "fraction", description = "Fraction of requests that are streams")
    private double streams = 1;

    @Option(name = "--batch", title = "fraction", description = "Fraction of requests of the class batch")
    private double batch;

    @Option(name = "--tokens", title = "number", description = "Tokens that each request generates")
    private int tokens = 20;

    @Option(name = "--prompt-words", title = "number", description = "Words of each prompt")
    private int promptWords = 20;

    /** Creates the command. */
    public LoadCommand() {}

    @Override
    public ExitCode run(CommandContext context) throws CommandFailedException {
        LoadPlan plan;
        try {
            plan = new LoadPlan(
                    entries.stream().map(Address::parse).toList(),
                    Optional.ofNullable(direct).map(Address::parse),
                    new LoadPlan.Arrivals(seed, rate, requests, Duration.ofSeconds(seconds), inFlight),
                    words(models),
                    words(keys),
                    new LoadPlan.Mix(streams, batch, tokens, promptWords));
        } catch (IllegalArgumentException exception) {
            throw CommandFailedException.usage(String.valueOf(exception.getMessage()));
        }
        try {
            LoadGenerator generator = new LoadGenerator(plan);
            // A script that provokes a failure counts its time from this line, not from the start of the process.
            context.output().println("sending");
            context.output().flush();
            LoadResult result = generator.run();
            result.print(context.output());
            if (!result.isCorrect()) {
                throw new CommandFailedException("an answer lost, doubled or changed tokens");
            }
            return ExitCode.OK;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException("interrupted");
        }
    }

    private static List<String> words(String text) {
        return Stream.of(text.split(",", -1)).filter(word -> !word.isEmpty()).toList();
    }
}
