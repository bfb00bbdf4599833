package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.transport.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What all callers together may occupy in this process.
 *
 * @param memoryBytes the heap memory for the heads of requests
 * @param connections the number of connections
 */
public record CallerBounds(long memoryBytes, int connections) {

    /**
     * Fraction of the heap for the heads of requests. The rest holds the connections, the responses of instances and
     * the view of the deployment.
     */
    private static final int HEAP_DIVISOR = 4;
    /** Descriptors for files, and for connections to instances, other entries and the store. */
    private static final int RESERVED_DESCRIPTORS = 200 + 500;
    /** Fraction of the descriptors for callers at least, on machines with less than the reserve. */
    private static final int MINIMUM_DIVISOR = 4;

    private static final int UNKNOWN_DESCRIPTORS = 2_212;
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final String DESCRIPTOR_LIMIT = "Max open files";

    /** Returns the bounds that the settings state, or else those that fit this process. */
    public static CallerBounds of(Settings settings) {
        long memoryBytes = settings.find(GatewaySettings.CALLER_MEMORY)
                .orElseGet(() -> Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
        // The platform may enforce its own limit, to which that of the operating system says nothing.
        int descriptors = settings.find(GatewaySettings.DESCRIPTORS)
                .map(Double::intValue)
                .orElseGet(CallerBounds::descriptorLimit);
        return new CallerBounds(memoryBytes, connections(descriptors));
    }

    static int connections(int descriptors) {
        return Math.max(descriptors / MINIMUM_DIVISOR, descriptors - RESERVED_DESCRIPTORS);
    }

    private static int descriptorLimit() {
        try {
            for (String line : Files.readAllLines(PROCESS_LIMITS)) {
                if (line.startsWith(DESCRIPTOR_LIMIT)) {
                    String softLimit =
                            line.substring(DESCRIPTOR_LIMIT.length()).trim().replaceAll("\\s.*", "");
                    return softLimit.equals("unlimited")
                            ? Integer.MAX_VALUE
                            : (int) Math.min(Integer.MAX_VALUE, Long.parseLong(softLimit));
                }
            }
        } catch (IOException exception) {
            // The operating system states no limit.
        }
        return UNKNOWN_DESCRIPTORS;
    }
}
