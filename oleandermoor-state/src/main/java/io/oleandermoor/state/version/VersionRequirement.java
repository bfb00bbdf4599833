package io.oleandermoor.state.version;

/**
 * What a request requires of the software version of its instance.
 *
 * @param kind how the version matters
 * @param version the version that brought the first event of a stream that goes on; otherwise
 *     {@link SoftwareVersion#UNSTATED}
 */
public record VersionRequirement(Kind kind, SoftwareVersion version) {

    /** The requirement of a request that is not a stream. */
    public static final VersionRequirement NONE = new VersionRequirement(Kind.NONE, SoftwareVersion.UNSTATED);

    /** The requirement of a stream without events. */
    public static final VersionRequirement BEGIN = new VersionRequirement(Kind.BEGIN, SoftwareVersion.UNSTATED);

    /** The requirement of a stream that was begun by an unknown version; no instance meets it. */
    public static final VersionRequirement UNKNOWN = new VersionRequirement(Kind.UNKNOWN, SoftwareVersion.UNSTATED);

    /** Returns the requirement of a stream that goes on. */
    public static VersionRequirement goOnAt(SoftwareVersion begun) {
        return new VersionRequirement(Kind.GO_ON, begun);
    }

    /** How the version of an instance matters to a request. */
    public enum Kind {
        /** It does not matter. */
        NONE(false) {
            @Override
            boolean permits(VersionPolicy policy, String service, SoftwareVersion begun, SoftwareVersion candidate) {
                return true;
            }
        },
        /** A stream begins, at any version that all entries can know. */
        BEGIN(false) {
            @Override
            boolean permits(VersionPolicy policy, String service, SoftwareVersion begun, SoftwareVersion candidate) {
                return policy.mayBegin(service, candidate);
            }
        },
        /** A stream goes on. */
        GO_ON(true) {
            @Override
            boolean permits(VersionPolicy policy, String service, SoftwareVersion begun, SoftwareVersion candidate) {
                return policy.mayGoOn(service, begun, candidate);
            }
        },
        /** A stream would go on, but nothing tells at which version. */
        UNKNOWN(true) {
            @Override
            boolean permits(VersionPolicy policy, String service, SoftwareVersion begun, SoftwareVersion candidate) {
                return false;
            }
        };

        private final boolean bound;

        Kind(boolean bound) {
            this.bound = bound;
        }

        abstract boolean permits(
                VersionPolicy policy, String service, SoftwareVersion begun, SoftwareVersion candidate);
    }

    /** Returns whether the request is bound to the version that began its stream. */
    public boolean isBound() {
        return kind.bound;
    }

    /** Returns whether an instance of a version meets this requirement. */
    public boolean isMetBy(SoftwareVersion candidate, String service, VersionPolicy policy) {
        return kind.permits(policy, service, version, candidate);
    }
}
