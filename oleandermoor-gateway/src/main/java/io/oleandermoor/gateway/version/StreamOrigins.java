package io.oleandermoor.gateway.version;

import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.StreamKey;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/**
 * Knows which software version brought the first event of a stream, also of streams that other entries or an earlier
 * process of this entry have served. Used on the event loop only.
 */
public interface StreamOrigins {

    /** Records that an instance of a version has brought the first event of an attempt that its caller may take up. */
    void recordFirstEvent(String service, StreamKey attempt, SoftwareVersion version);

    /** Makes what has been recorded known to the other entries now, because callers are about to return. */
    void publish();

    /**
     * Finds the version at which a stream may go on.
     *
     * @param service the service that runs the stream
     * @param attempt the attempt that brought its first event; empty if the caller names none
     * @return the version, or empty if it is not known; never fails, and does not wait for knowledge that comes later
     */
    Single<Optional<SoftwareVersion>> find(String service, Optional<StreamKey> attempt);
}
