package io.oleandermoor.gateway.crowd;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads what a process uses from the proc file system. */
final class ProcessUsage {

    private static final String PEAK_MEMORY = "VmHWM:";

    private final Path directory;
    private long peakMemoryKilobytes;
    private long peakDescriptors;

    ProcessUsage(long pid) {
        directory = Path.of("/proc", Long.toString(pid));
    }

    /** Records the current use. A process that has ended changes nothing. */
    void sample() {
        try (Stream<Path> descriptors = Files.list(directory.resolve("fd"))) {
            peakDescriptors = Math.max(peakDescriptors, descriptors.count());
            for (String line : Files.readAllLines(directory.resolve("status"))) {
                if (line.startsWith(PEAK_MEMORY)) {
                    peakMemoryKilobytes = Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException exception) {
            // The process has ended, which the test checks by other means.
        }
    }

    /** Returns the largest resident size that was sampled, in MB. */
    long peakMemoryMegabytes() {
        return peakMemoryKilobytes >> 10;
    }

    /** Returns the largest number of open descriptors that was sampled. */
    long peakDescriptors() {
        return peakDescriptors;
    }
}
