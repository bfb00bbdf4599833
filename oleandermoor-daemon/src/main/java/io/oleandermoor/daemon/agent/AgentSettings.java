package io.oleandermoor.daemon.agent;

/**
 * Settings of an agent.
 *
 * @param instance identifier of the instance
 * @param failureDomain the failure domain
 * @param peerAddress address for peer connections as {@code ip:port}
 * @param administrationAddress address for metrics and health as {@code ip:port}
 * @param instanceListAddress address of the platform's instance list as {@code ip:port}
 * @param upstream the upstream beside this agent
 */
public record AgentSettings(
        String instance,
        String failureDomain,
        String peerAddress,
        String administrationAddress,
        String instanceListAddress,
        Upstream upstream) {

    /**
     * The upstream beside an agent.
     *
     * @param id identifier of the upstream
     * @param address the upstream's address as {@code ip:port}
     * @param service name of the plain service, or empty for an engine
     * @param slots number of requests that may run at once
     */
    public record Upstream(String id, String address, String service, int slots) {}
}
