import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What all scripts share: the folders, the record and the exit code. */
final class Case {

    final Path root;
    final Path directory;
    final Recorder record;
    final boolean trouble;

    /** A script; returns whether the rule held. */
    interface Body {
        boolean run(Case run) throws Exception;
    }

    private Case(Path root, Path directory, Recorder record, boolean trouble) {
        this.root = root;
        this.directory = directory;
        this.record = record;
        this.trouble = trouble;
    }

    /**
     * Runs a script and ends this process: with 0 if the rule held, 1 if it was broken and 2 if the script could not
     * run. Processes that it started end with it.
     *
     * @param arguments the root of the repository and the folder of the case
     */
    static void run(String[] arguments, Body body) throws IOException {
        Path folder = Path.of(arguments[1]);
        Path directory = Files.createTempDirectory("review");
        Recorder record = new Recorder(folder.resolve("record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try {
            boolean held = body.run(new Case(Path.of(arguments[0]), directory, record, trouble));
            record.write(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Exception exception) {
            record.write("the case could not run: " + exception);
            code = 2;
        }
        // The hooks end the entries.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(directory)));
        System.exit(code);
    }

    private static void delete(Path directory) {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException exception) {
            // The folder is a temporary one.
        }
    }
}
