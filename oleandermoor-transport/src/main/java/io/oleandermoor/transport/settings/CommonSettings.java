package io.oleandermoor.transport.settings;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.KeyHash;
import java.time.Duration;

/** Settings that entry and agent have in common. */
public final class CommonSettings {

    /** Identifier of the instance. */
    public static final Setting<InstanceId> INSTANCE_ID = Setting.identifier(
            "process.instance-id", InstanceId::new, "Identifier of the instance, unique in the fleet.");

    /** Failure domain of the instance. */
    public static final Setting<FailureDomain> FAILURE_DOMAIN =
            Setting.identifier("process.failure-domain", FailureDomain::new, "Failure domain that the instance is in.");

    /** Region of the instance. */
    public static final Setting<String> REGION =
            Setting.identifier("process.region", CommonSettings::identifier, "Region that the failure domain is in.");

    /** Number of worker threads. */
    public static final Setting<Integer> WORKERS = Setting.count(
                    "process.workers", 0, 256, "Number of worker threads; 0 stands for one per available core.")
            .defaultingTo("0");

    /** Address of the administration interface. */
    public static final Setting<Address> ADMIN_ADDRESS =
            Setting.listenAddress("listen.admin", "Address on which the admin API, metrics and health are served.");

    /** Address for other processes. */
    public static final Setting<Address> PEER_ADDRESS =
            Setting.listenAddress("listen.peer", "Address on which other processes of the fleet connect.");

    /** Address of the key-value service. */
    public static final Setting<Address> KEY_VALUE_SERVICE =
            Setting.address("platform.key-value-service", "Address of the platform's key-value service.");

    /** Address of the instance list. */
    public static final Setting<Address> INSTANCE_LIST =
            Setting.address("platform.instance-list", "Address of the platform's list of instances.");

    /** Longest wait for a response of the platform. */
    public static final Setting<Duration> PLATFORM_TIMEOUT = Setting.duration(
                    "platform.timeout", "Longest wait for a response of the key-value service or the instance list.")
            .defaultingTo("1s");

    /** Hash of the administration credential. */
    public static final Setting<KeyHash> ADMINISTRATION_CREDENTIAL_HASH =
            Setting.hash("administration.credential-hash", "SHA-256 of the credential that the admin API accepts.");

    /** Size of the largest body of an admin request. */
    public static final Setting<Long> ADMINISTRATION_BODY_LIMIT = Setting.size(
                    "administration.body-limit", "Size of the largest body that the admin API reads.")
            .defaultingTo("900KB");

    /** Longest wait for running work when stopping. */
    public static final Setting<Duration> DRAIN_LIMIT = Setting.duration(
                    "drain.limit", "Longest time that a stopping process waits for its running work.")
            .defaultingTo("30s");

    private CommonSettings() {}

    static String identifier(String text) {
        if (!Identifiers.isValid(text)) {
            throw new IllegalArgumentException(
                    "'" + text + "' must start with a letter or digit and have only letters," + " digits or . _ : / -");
        }
        return text;
    }
}
