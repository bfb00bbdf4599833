package io.oleandermoor.gateway.upstream;

import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.platform.ResponseNotice;
import io.oleandermoor.state.dispatch.InstanceNotices;
import io.oleandermoor.state.dispatch.InstanceNotices.Notice;
import io.oleandermoor.state.fleet.UpstreamInstance;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Records and logs what instances say in their responses about further requests. Used on the event loop only. */
public final class NoticeRecorder implements EngineClient.NoticeListener {

    private static final Logger LOG = LogManager.getLogger(NoticeRecorder.class);

    private final DeploymentView view;
    private final GatewayMetrics metrics;

    /**
     * Creates a recorder.
     *
     * @param view the view to update
     * @param metrics counts the notices
     */
    public NoticeRecorder(DeploymentView view, GatewayMetrics metrics) {
        this.view = view;
        this.metrics = metrics;
    }

    @Override
    public void noticed(UpstreamInstance instance, ResponseNotice notice) {
        if (notice.isEmpty()) {
            return;
        }
        long now = Timestamp.monotonicNowMillis();
        InstanceNotices notices = view.instances().notices();
        if (notice.leaving()) {
            notices.recordLeaving(instance, now).ifPresent(each -> log(instance, each, now));
        }
        notice.pauseMillis()
                .ifPresent(
                        pause -> notices.recordPause(instance, pause, now).ifPresent(each -> log(instance, each, now)));
        notice.unreadable()
                .ifPresent(text -> LOG.warn(
                        "event=notice_unreadable instance={} field=Retry-After value=\"{}\"", instance.id(), text));
    }

    private void log(UpstreamInstance instance, Notice notice, long now) {
        metrics.countNotice(notice.reason());
        LOG.info(
                "event=instance_withdrawn instance={} started={} service={} reason={} for_ms={}",
                instance.id(),
                instance.startedMillis(),
                instance.service(),
                notice.reason(),
                notice.untilMillis() == Long.MAX_VALUE ? -1 : notice.untilMillis() - now);
        view.notifyChangeListeners();
    }
}
