package io.oleandermoor.state.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/**
 * The properties of a request by which other requests that end instances are recognized: each prompt part that other
 * requests may share, and a fingerprint of the whole request, which only its repetitions share. The fingerprint is
 * computed when it is first needed. Not thread-safe.
 */
public final class RequestTraits {

    private static final String PART_PREFIX = "part:";
    private static final String REQUEST_PREFIX = "request:";

    /** Other identifiers are not tracked; traits are kept as keys and in lists in the store. */
    private static final Pattern TRACKED_PART_ID = Pattern.compile("[!-~]{1,64}");

    private final List<String> parts;
    private final Supplier<String> fingerprintSource;
    private Optional<String> fingerprint = Optional.empty();

    /**
     * Creates the traits of a request.
     *
     * @param sharedPartIds the identifiers of the prompt parts that other requests may share
     * @param fingerprintSource computes the fingerprint of the whole request
     */
    public RequestTraits(List<String> sharedPartIds, Supplier<String> fingerprintSource) {
        this.parts = sharedPartIds.stream()
                .filter(id -> TRACKED_PART_ID.matcher(id).matches())
                .map(PART_PREFIX::concat)
                .toList();
        this.fingerprintSource = fingerprintSource;
    }

    /** Returns whether a trait is a fingerprint of a whole request. */
    static boolean isFingerprint(String trait) {
        return trait.startsWith(REQUEST_PREFIX);
    }

    /** Returns the traits of the shared prompt parts. */
    public List<String> parts() {
        return parts;
    }

    /** Returns the trait of the whole request. */
    public String fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(REQUEST_PREFIX + fingerprintSource.get());
        }
        return fingerprint.get();
    }

    /** Returns all traits, first the one that only repetitions of the request share. */
    public List<String> all() {
        List<String> all = new ArrayList<>(parts.size() + 1);
        all.add(fingerprint());
        all.addAll(parts);
        return all;
    }
}
