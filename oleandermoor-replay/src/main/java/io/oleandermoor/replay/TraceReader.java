package io.oleandermoor.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.identity.UpstreamId;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads a trace line by line. A line with an error is reported and left out; all errors are thrown together at the end
 * of the trace, or when there are {@value #MAXIMUM_FINDINGS}. Not safe for use by several threads.
 */
public final class TraceReader implements TraceSource {

    private static final int MAXIMUM_FINDINGS = 20;

    private final BufferedReader reader;
    private final String file;
    private final Findings findings = new Findings();
    private final Deployment deployment;
    private final Set<TeamName> teams;
    private final Set<ModelName> models;
    private final Map<AdapterName, ModelName> adapters = new HashMap<>();
    private final Set<UpstreamId> upstreams;
    private final Set<FailureDomain> domains;
    private long line = 1;
    private long lastMillis;

    /**
     * Reads the header.
     *
     * @param reader the text
     * @param file name for findings
     * @throws IOException if reading fails
     * @throws InvalidInputException if the header has errors
     */
    public TraceReader(Reader reader, String file) throws IOException, InvalidInputException {
        this.reader = new BufferedReader(reader);
        this.file = file;
        String text = this.reader.readLine();
        this.deployment = parse(text == null ? "" : text, Deployment.class)
                .orElseThrow(() -> new InvalidInputException(findings.list()));
        teams = deployment.teams().stream().map(Team::name).collect(Collectors.toSet());
        models = deployment.models().stream().map(Model::name).collect(Collectors.toSet());
        upstreams = deployment.engines().stream().map(Deployment.Engine::id).collect(Collectors.toSet());
        domains = deployment.engines().stream().map(Deployment.Engine::domain).collect(Collectors.toSet());
        for (Adapter adapter : deployment.adapters()) {
            adapters.put(adapter.name(), adapter.model());
        }
    }

    @Override
    public Deployment deployment() {
        return deployment;
    }

    @Override
    public Optional<TraceEvent> next() throws IOException, InvalidInputException {
        while (findings.list().size() < MAXIMUM_FINDINGS) {
            String text = reader.readLine();
            if (text == null) {
                break;
            }
            line++;
            Optional<TraceEvent> event = parse(text, TraceEvent.class);
            if (event.isPresent() && isValid(event.get())) {
                lastMillis = event.get().millis();
                return event;
            }
        }
        findings.throwIfErrors();
        return Optional.empty();
    }

    @Override
    public void close() throws IOException {
        reader.close();
    }

    private <T> Optional<T> parse(String text, Class<T> type) {
        try {
            return Optional.of(TraceJson.read(text, type));
        } catch (JsonProcessingException exception) {
            findings.error(file + ":" + line, exception.getOriginalMessage());
        } catch (IllegalArgumentException exception) {
            findings.error(file + ":" + line, "not a valid line: " + exception.getMessage());
        }
        return Optional.empty();
    }

    private boolean isValid(TraceEvent event) {
        int before = findings.list().size();
        require(event.millis() >= lastMillis, "millis " + event.millis() + " is before " + lastMillis);
        if (event instanceof TraceEvent.Request request) {
            require(teams.contains(request.team()), "no team " + request.team());
            require(models.contains(request.model()), "no model " + request.model());
            request.adapter()
                    .ifPresent(adapter -> require(
                            request.model().equals(adapters.get(adapter)),
                            "no adapter " + adapter + " of model " + request.model()));
        } else if (event instanceof TraceEvent.TeamChanged changed) {
            require(
                    teams.contains(changed.team().name()),
                    "no team " + changed.team().name());
        } else if (event instanceof TraceEvent.UpstreamChanged changed) {
            require(upstreams.contains(changed.upstream()), "no upstream " + changed.upstream());
        } else if (event instanceof TraceEvent.DomainChanged changed) {
            require(domains.contains(changed.domain()), "no failure domain " + changed.domain());
        } else if (event instanceof TraceEvent.EntryReplaced replaced) {
            require(replaced.entry() >= 0 && replaced.entry() < deployment.entries(), "no entry " + replaced.entry());
        }
        return findings.list().size() == before;
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            findings.error(file + ":" + line, message);
        }
    }
}
