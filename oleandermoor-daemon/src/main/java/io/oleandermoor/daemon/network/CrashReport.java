package io.oleandermoor.daemon.network;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.Crash;
import io.oleandermoor.state.ledger.CrashRegistry;
import java.util.List;

/**
 * A crash of an upstream as its agent reports it.
 *
 * @param upstream the upstream
 * @param atEpochMillis the time of the crash on the agent's wall clock, which also tells crashes apart
 * @param fingerprints the fingerprints of the requests that are charged
 */
public record CrashReport(String upstream, long atEpochMillis, List<String> fingerprints) {

    /** Prefix of the names of items with reports. */
    public static final String ITEM_PREFIX = "crash/";

    /** Copies the list. */
    public CrashReport {
        fingerprints = List.copyOf(fingerprints);
    }

    /**
     * Adds the crash to a registry. The agent's clock stands for the incarnation of the upstream.
     *
     * @param registry the registry
     */
    public void enterInto(CrashRegistry registry) {
        Crash crash = new Crash(new UpstreamId(upstream), atEpochMillis, atEpochMillis);
        fingerprints.forEach(fingerprint -> registry.add(fingerprint, crash));
    }
}
