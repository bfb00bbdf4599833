package io.oleandermoor.daemon.entry;

import io.oleandermoor.daemon.health.AdministrationServer.Readiness;

/**
 * Decides whether a load balancer sends requests to an entry. An entry becomes ready once it could serve requests; a
 * later loss of the key-value service or of agents concerns all entries alike and takes none of them out of service.
 * Safe for use by several threads.
 */
final class EntryReadiness {

    private volatile boolean couldServe;

    /**
     * Decides.
     *
     * @param draining whether the entry is stopping
     * @param version version of the configuration in force, 0 if there is none
     * @param keysUsable whether the configuration was confirmed recently enough to accept keys
     * @param connected whether the agent of any upstream is connected
     */
    Readiness decide(boolean draining, long version, boolean keysUsable, boolean connected) {
        if (draining) {
            return new Readiness(false, "stopping");
        }
        if (version == 0) {
            return new Readiness(false, "no configuration");
        }
        if (!couldServe && !keysUsable) {
            return new Readiness(false, "configuration is not confirmed");
        }
        if (!couldServe && !connected) {
            return new Readiness(false, "no agent is connected");
        }
        couldServe = true;
        return Readiness.READY;
    }
}
