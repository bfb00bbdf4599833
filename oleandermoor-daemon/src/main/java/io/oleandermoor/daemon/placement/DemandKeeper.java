package io.oleandermoor.daemon.placement;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.protocol.message.DemandReport;
import io.oleandermoor.state.configuration.OpeningHours;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.placement.DemandArchive;
import io.oleandermoor.state.placement.DemandEstimate;
import io.oleandermoor.state.placement.DemandRecorder;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The demand of one placement owner's term: collects the reports of entries, records them, and keeps the record at the
 * key-value service for the next owner. Reports come from any thread; all other calls from one thread.
 */
public final class DemandKeeper {

    /** Name of the record at the key-value service. */
    public static final String ARCHIVE_NAME = "placement/demand";

    /** Time between two writes of the record: a new owner lacks at most this much of the present hour. */
    static final Duration SAVE_INTERVAL = Duration.ofMinutes(10);

    /** Time between two forecasts; the entries report as often. */
    private static final Duration FORECAST_INTERVAL = Duration.ofSeconds(5);

    private static final Logger LOGGER = LogManager.getLogger(DemandKeeper.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final StoredValue archive;

    private final Supplier<Instant> wallClock;

    private final DemandTable table = new DemandTable();

    private DemandRecorder recorder = new DemandRecorder();

    private Instant nextSample = Instant.MIN;

    private Instant nextSave = Instant.MIN;

    private Instant nextForecast = Instant.MIN;

    private Map<ModelName, DemandEstimate> forecast = Map.of();

    /**
     * Creates a keeper without any demand.
     *
     * @param archive the record at the key-value service, named {@link #ARCHIVE_NAME}
     * @param wallClock the wall-clock time, for the hour of the day
     */
    public DemandKeeper(StoredValue archive, Supplier<Instant> wallClock) {
        this.archive = archive;
        this.wallClock = wallClock;
    }

    void reported(String entry, DemandReport report, long nowMillis) {
        synchronized (table) {
            table.reported(entry, report, nowMillis);
        }
    }

    /** Forgets the record, so that it is read again: another owner may have written it meanwhile. */
    void reset() {
        recorder = new DemandRecorder();
        archive.forget();
        nextSample = Instant.MIN;
        nextSave = Instant.MIN;
        nextForecast = Instant.MIN;
    }

    /** Samples and saves what is due. May block on the key-value service; its failure delays the save. */
    void tick(long nowMillis) {
        Instant now = wallClock.get();
        if (now.isBefore(nextSample)) {
            return;
        }
        nextSample = now.plus(DemandRecorder.SAMPLE_INTERVAL);
        try {
            if (!archive.isKnown()) {
                load();
                nextSave = now.plus(SAVE_INTERVAL);
            }
            recorder.recordSample(now, present(nowMillis));
            if (!now.isBefore(nextSave)) {
                nextSave = now.plus(SAVE_INTERVAL);
                save();
            }
        } catch (IOException | RuntimeException | StoreException exception) {
            LogEvent.of("demand_not_recorded")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }

    /** Returns the demand for each model, present and expected. */
    Map<ModelName, DemandEstimate> demand(List<OpeningHours> openingHours, long nowMillis) {
        Instant now = wallClock.get();
        if (!now.isBefore(nextForecast)) {
            nextForecast = now.plus(FORECAST_INTERVAL);
            forecast = recorder.forecast(now, present(nowMillis), openingHours);
        }
        return forecast;
    }

    private Map<ModelName, Double> present(long nowMillis) {
        synchronized (table) {
            return table.present(nowMillis);
        }
    }

    private void load() throws IOException, StoreException {
        Optional<byte[]> content = archive.read();
        if (content.isPresent()) {
            recorder = DemandRecorder.restore(MAPPER.readValue(content.get(), DemandArchive.class));
        }
    }

    /** Writes the record. After a refused write another owner's record counts; the next tick reads it. */
    private void save() throws IOException {
        archive.write(MAPPER.writeValueAsBytes(recorder.archive()));
    }
}
