import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the time since the start in seconds. */
final class Recorder {

    private final Path file;
    private final long started = System.nanoTime();
    private final StringBuilder text = new StringBuilder();

    Recorder(Path file) throws IOException {
        this.file = file;
        Files.writeString(file, "");
    }

    synchronized void write(String line) {
        text.append(String.format(Locale.ROOT, "%8.3f  %s%n", seconds(), line));
        try {
            Files.writeString(file, text);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    double seconds() {
        return (System.nanoTime() - started) / 1e9;
    }
}
