package io.oleandermoor.gateway.upstream;

import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.state.coldstart.ColdStarts;
import io.oleandermoor.state.coldstart.ColdStarts.ColdTime;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs and counts the cold times of instances. Used on the event loop only. */
public final class ColdStartLog implements ColdStarts.Listener {

    private static final Logger LOG = LogManager.getLogger(ColdStartLog.class);

    private final GatewayMetrics metrics;

    /**
     * Creates a log.
     *
     * @param metrics counts the cold times and the choices that they affect
     */
    public ColdStartLog(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void coldBegan(ColdTime coldTime, long nowMillis) {
        metrics.countColdTime(coldTime.cause());
        LOG.info(
                "event=instance_cold instance={} started={} service={} cause={} for_ms={} described_ms={} entries={}"
                        + " interval_ms={} first_ms={}",
                coldTime.instance().id(),
                coldTime.instance().startedMillis(),
                coldTime.instance().service(),
                coldTime.cause(),
                coldTime.untilMillis() - nowMillis,
                coldTime.descriptionAgeMillis(),
                coldTime.entries(),
                coldTime.intervalMillis(),
                coldTime.firstSendMillis() - nowMillis);
    }

    @Override
    public void limited() {
        metrics.countColdLimited();
    }
}
