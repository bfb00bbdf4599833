package io.oleandermoor.state.dispatch;

import java.util.HashMap;
import java.util.Map;

/** The prompts that other entries have sent to engines and that the engines have not read yet. Not thread-safe. */
final class PeerPrompts {

    /**
     * Time after which the tokens of an entry no longer count unless it reports them again, so that an entry that ends
     * does not block an engine; longer than an engine takes to read a long prompt.
     */
    private static final long EXPIRY_MILLIS = 400;

    private final Map<String, Map<String, UnreadTokens>> unreadByInstance = new HashMap<>();

    private record UnreadTokens(long tokens, long expiryMillis) {}

    /** Replaces the unread tokens that an entry reports for an instance. */
    void update(String entry, String instance, long tokens, long nowMillis) {
        if (tokens > 0) {
            unreadByInstance
                    .computeIfAbsent(instance, key -> new HashMap<>())
                    .put(entry, new UnreadTokens(tokens, nowMillis + EXPIRY_MILLIS));
        } else {
            unreadByInstance.computeIfPresent(instance, (key, byEntry) -> {
                byEntry.remove(entry);
                return byEntry.isEmpty() ? null : byEntry;
            });
        }
    }

    /** Removes the unread tokens of an entry. */
    void removeEntry(String entry) {
        unreadByInstance.values().removeIf(byEntry -> {
            byEntry.remove(entry);
            return byEntry.isEmpty();
        });
    }

    /** Returns the tokens that an instance still has to read for other entries. */
    long unreadTokens(String instance, long nowMillis) {
        return unreadByInstance.getOrDefault(instance, Map.of()).values().stream()
                .filter(unread -> unread.expiryMillis() > nowMillis)
                .mapToLong(UnreadTokens::tokens)
                .sum();
    }
}
