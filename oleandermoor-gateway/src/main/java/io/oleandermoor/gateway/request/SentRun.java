package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.RunContact;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.Optional;

/**
 * The run of an instance to which a request was sent, as it was described then; another run may have got the request if
 * contact was lost. Used on the event loop only.
 */
final class SentRun {

    private final RequestDispatcher dispatcher;
    private final UpstreamInstance instance;
    private final Optional<RunContact> contact;

    SentRun(RequestDispatcher dispatcher, UpstreamInstance instance) {
        this.dispatcher = dispatcher;
        this.instance = instance;
        this.contact = dispatcher
                .view()
                .instances()
                .state(instance.id(), instance.startedMillis())
                .map(InstanceState::contact);
    }

    SoftwareVersion version() {
        return instance.softwareVersion();
    }

    /**
     * Returns whether another run than the described one may have the address, which matters if it states a version.
     */
    boolean isUncertain() {
        return version().isStated()
                && contact.filter(known -> !known.isUncertain()).isEmpty();
    }

    /** Runs an action once it is certain that the described run got the request; never if another one may have. */
    void whenIdentified(Runnable action) {
        if (!isUncertain()) {
            action.run();
            return;
        }
        contact.ifPresent(known -> known.whenCertain(action));
        dispatcher.requestConfirmation(instance);
    }
}
