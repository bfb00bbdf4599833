package io.oleandermoor.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;

/** One event of a trace. Times are milliseconds since its start. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Request.class, name = "request"),
    @JsonSubTypes.Type(value = TraceEvent.TeamChanged.class, name = "team-changed"),
    @JsonSubTypes.Type(value = TraceEvent.UpstreamChanged.class, name = "upstream-changed"),
    @JsonSubTypes.Type(value = TraceEvent.DomainChanged.class, name = "domain-changed"),
    @JsonSubTypes.Type(value = TraceEvent.StoreChanged.class, name = "store-changed"),
    @JsonSubTypes.Type(value = TraceEvent.EntryReplaced.class, name = "entry-replaced")
})
public sealed interface TraceEvent {

    /**
     * Returns when the event happens.
     *
     * @return milliseconds since the start of the trace
     */
    long millis();

    /**
     * A request of a caller.
     *
     * @param millis when it arrives
     * @param team the team that pays
     * @param requestClass live or batch
     * @param model the model, also for an adapter
     * @param adapter the adapter, if any
     * @param promptTokens length of the prompt, positive
     * @param outputTokens length of the answer, positive
     * @param prefixGroup requests of one group share the first half of their prompt
     * @param deadlineMillis time from arrival within which it has to start
     * @param repeatable whether it may run twice
     * @param crashes whether it crashes each upstream that runs it; the prefix group is its fingerprint
     */
    record Request(
            long millis,
            TeamName team,
            RequestClass requestClass,
            ModelName model,
            Optional<AdapterName> adapter,
            int promptTokens,
            int outputTokens,
            int prefixGroup,
            long deadlineMillis,
            boolean repeatable,
            boolean crashes)
            implements TraceEvent {

        /** Checks the numbers. */
        public Request {
            if (promptTokens <= 0 || outputTokens <= 0 || deadlineMillis <= 0) {
                throw new IllegalArgumentException("promptTokens, outputTokens and deadlineMillis must be positive");
            }
        }

        int tokens() {
            return promptTokens + outputTokens;
        }
    }

    /**
     * A configuration change that replaces the limits of a team.
     *
     * @param millis when it is in force
     * @param team the new limits
     */
    record TeamChanged(long millis, Team team) implements TraceEvent {}

    /**
     * An upstream is lost or comes back empty.
     *
     * @param millis when
     * @param upstream the upstream
     * @param live whether it is back
     */
    record UpstreamChanged(long millis, UpstreamId upstream, boolean live) implements TraceEvent {}

    /**
     * All upstreams of a failure domain are lost or come back empty.
     *
     * @param millis when
     * @param domain the failure domain
     * @param live whether it is back
     */
    record DomainChanged(long millis, FailureDomain domain, boolean live) implements TraceEvent {}

    /**
     * The key-value service goes down or comes back.
     *
     * @param millis when
     * @param available whether it is back
     */
    record StoreChanged(long millis, boolean available) implements TraceEvent {}

    /**
     * An entry stops gracefully and a new process takes its place.
     *
     * @param millis when
     * @param entry number of the entry, from 0
     */
    record EntryReplaced(long millis, int entry) implements TraceEvent {}
}
