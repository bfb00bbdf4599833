package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.routing.RouteQuery;
import java.util.Locale;
import java.util.Optional;

/**
 * A checked request of a caller.
 *
 * @param id the identity
 * @param key the key that came with the request, empty on an open route
 * @param query what must be ready at the upstream
 * @param dispatch what is sent to the agent, without the parts that differ between attempts
 * @param tokens upper bound of prompt and generated tokens, 0 for a plain service
 * @param deadlineMillis when the caller's time is over, on the monotonic clock in milliseconds
 * @param onceKey name of the record that makes the call run at most once over all entries, empty if there is none
 */
record CallerRequest(
        RequestId id,
        Optional<ApiKey> key,
        RouteQuery query,
        Dispatch dispatch,
        long tokens,
        long deadlineMillis,
        Optional<String> onceKey) {

    /** Label of requests on open routes in metrics and logs. */
    static final String OPEN = "open";

    Optional<TeamName> team() {
        return key.map(ApiKey::team);
    }

    String teamLabel() {
        return key.map(value -> value.team().value()).orElse(OPEN);
    }

    String classLabel() {
        return dispatch.getRequestClass().name().toLowerCase(Locale.ROOT);
    }

    boolean repeatable() {
        return dispatch.getRepeatable();
    }
}
