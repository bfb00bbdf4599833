package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.version.StreamOrigins;
import io.oleandermoor.state.fleet.RequestKind;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.StreamKey;
import io.oleandermoor.state.version.VersionRequirement;

/**
 * Keeps the stream of a request at the software version that brought its first event, in this response and over the
 * attempts of its caller. Used on the event loop only.
 */
final class StreamContinuation {

    private final StreamOrigins origins;
    private final AdmittedRequest admitted;
    private VersionRequirement requirement;
    private boolean eventsDelivered;

    StreamContinuation(StreamOrigins origins, AdmittedRequest admitted) {
        this.origins = origins;
        this.admitted = admitted;
        boolean stream = admitted.route().kind() == RequestKind.STREAMING;
        this.requirement = stream ? VersionRequirement.BEGIN : VersionRequirement.NONE;
    }

    /** Returns what the request requires of the software version of its next instance. */
    VersionRequirement requirement() {
        return requirement;
    }

    /** Finds the version that began the stream if the caller takes one up, and then runs the continuation. */
    void findOrigin(Runnable continuation) {
        if (requirement != VersionRequirement.BEGIN
                || admitted.caller().lastEventId().isEmpty()) {
            continuation.run();
            return;
        }
        requirement = VersionRequirement.UNKNOWN;
        var unused = origins.find(
                        admitted.service(), admitted.caller().resumedId().map(this::key))
                .subscribe(found -> {
                    found.ifPresent(version -> requirement = VersionRequirement.goOnAt(version));
                    continuation.run();
                });
    }

    private StreamKey key(String requestId) {
        return StreamKey.of(
                requestId,
                admitted.team().map(TeamLimits::name).orElse(""),
                admitted.route().name(),
                admitted.service());
    }

    /** Records that events of a run are delivered; those of other versions do not fit behind them. */
    void recordEvents(SentRun run) {
        if (eventsDelivered || requirement == VersionRequirement.NONE) {
            return;
        }
        eventsDelivered = true;
        requirement = VersionRequirement.UNKNOWN;
        run.whenIdentified(() -> recordOrigin(run.version()));
    }

    private void recordOrigin(SoftwareVersion version) {
        requirement = VersionRequirement.goOnAt(version);
        if (admitted.route().repeatable()) {
            origins.recordFirstEvent(admitted.service(), key(admitted.caller().id()), version);
        }
    }

    /** Prepares for the return of the caller, to any entry. */
    void callerMayReturn() {
        if (eventsDelivered && admitted.route().repeatable()) {
            origins.publish();
        }
    }
}
