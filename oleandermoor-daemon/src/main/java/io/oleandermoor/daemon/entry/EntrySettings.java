package io.oleandermoor.daemon.entry;

/**
 * Settings of an entry.
 *
 * @param instance identifier of the instance
 * @param failureDomain the failure domain
 * @param callerAddress address for callers as {@code ip:port}
 * @param administrationAddress address for administration, metrics and health as {@code ip:port}
 * @param peerAddress address for peer connections as {@code ip:port}
 * @param instanceListAddress address of the platform's instance list as {@code ip:port}
 * @param keyValueServiceAddress address of the platform's key-value service as {@code ip:port}
 */
public record EntrySettings(
        String instance,
        String failureDomain,
        String callerAddress,
        String administrationAddress,
        String peerAddress,
        String instanceListAddress,
        String keyValueServiceAddress) {}
