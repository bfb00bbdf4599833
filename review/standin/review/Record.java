package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start of the script. */
public final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    public Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Returns the milliseconds since the start of the script on the monotonic clock. */
    public long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes one line. */
    public synchronized void write(String format, Object... values) {
        writer.println(millis() + " " + String.format(Locale.ROOT, format, values));
    }

    /** Writes one line to the record and to standard output. */
    public void tell(String format, Object... values) {
        write(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
