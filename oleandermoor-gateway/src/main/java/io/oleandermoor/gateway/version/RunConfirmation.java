package io.oleandermoor.gateway.version;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.platform.EngineReport;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.RunContact;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Asks an engine with which contact was lost whether it still is the described run. Others are confirmed by their next
 * registration. Used on the event loop only.
 */
// Calls complete with a response or a timeout, so they are not cancelled.
@SuppressWarnings("CheckReturnValue")
public final class RunConfirmation {

    private static final Logger LOG = LogManager.getLogger(RunConfirmation.class);

    private final DeploymentView view;
    private final EngineClient engines;
    private final Set<String> pending = new HashSet<>();

    /**
     * Creates a confirmation without calls.
     *
     * @param view this entry's view of the deployment
     * @param engines reads the reports
     */
    public RunConfirmation(DeploymentView view, EngineClient engines) {
        this.view = view;
        this.engines = engines;
    }

    /** Asks an uncertain instance for a confirmation, unless that was done since contact was lost. */
    public void request(UpstreamInstance instance) {
        Optional<RunContact> contact = view.instances()
                .state(instance.id(), instance.startedMillis())
                .map(InstanceState::contact)
                .filter(known -> known.isUncertain() && !known.isRefuted());
        if (contact.isEmpty() || !isEngine(instance) || !pending.add(instance.id())) {
            return;
        }
        long sentMillis = Timestamp.monotonicNowMillis();
        engines.report(instance)
                .map(EngineReport::startedMillis)
                .doFinally(() -> pending.remove(instance.id()))
                .subscribe(started -> handleAnswer(instance, contact.get(), started, sentMillis), cause -> {
                    contact.get().recordRefuted();
                    LOG.info("event=run_not_confirmed instance={} cause=\"{}\"", instance.id(), cause.getMessage());
                });
    }

    private boolean isEngine(UpstreamInstance instance) {
        return view.document()
                .flatMap(document -> document.service(instance.service()))
                .flatMap(service -> service.engine())
                .isPresent();
    }

    private static void handleAnswer(
            UpstreamInstance instance, RunContact contact, OptionalLong started, long sentMillis) {
        if (started.equals(OptionalLong.of(instance.startedMillis()))) {
            contact.recordConfirmed(sentMillis);
        } else {
            contact.recordRefuted();
            LOG.info(
                    "event=run_replaced instance={} described={} reported={}",
                    instance.id(),
                    instance.startedMillis(),
                    started);
        }
    }
}
