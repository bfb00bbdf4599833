package io.oleandermoor.state.version;

/** Decides at which software versions of a service streams may begin and go on. */
public interface VersionPolicy {

    /** Returns whether a stream may begin at a version: every entry can know that it is in use. */
    boolean mayBegin(String service, SoftwareVersion candidate);

    /**
     * Returns whether a stream may go on at a version.
     *
     * @param service the service
     * @param begun the version that brought its first event
     * @param candidate the version at which it would go on
     */
    boolean mayGoOn(String service, SoftwareVersion begun, SoftwareVersion candidate);
}
