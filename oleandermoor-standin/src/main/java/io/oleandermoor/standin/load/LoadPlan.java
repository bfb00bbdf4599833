package io.oleandermoor.standin.load;

import io.oleandermoor.transport.settings.Address;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What the load tool sends. Arrivals, teams, classes, models and prompts follow from the seed alone.
 *
 * @param entries addresses of entries, used in turn
 * @param direct address of an engine stand-in that receives every second request without an entry or agent, or empty
 * @param arrivals when requests arrive
 * @param models the models to choose from
 * @param teamKeys the keys of the teams to choose from
 * @param mix the kinds of requests
 */
public record LoadPlan(
        List<Address> entries,
        Optional<Address> direct,
        Arrivals arrivals,
        List<String> models,
        List<String> teamKeys,
        Mix mix) {

    /** Copies the lists and checks that load goes to loopback only. */
    public LoadPlan {
        entries = List.copyOf(entries);
        models = List.copyOf(models);
        teamKeys = List.copyOf(teamKeys);
        if (entries.isEmpty() && direct.isEmpty()) {
            throw new IllegalArgumentException("entries must not be empty without a direct address");
        }
        if (models.isEmpty() || teamKeys.isEmpty()) {
            throw new IllegalArgumentException("models and teamKeys must not be empty");
        }
        entries.forEach(LoadPlan::requireLoopback);
        direct.ifPresent(LoadPlan::requireLoopback);
    }

    private static void requireLoopback(Address address) {
        if (!address.toSocketAddress().getAddress().isLoopbackAddress()) {
            throw new IllegalArgumentException(address + " is not a loopback address; load goes to loopback only");
        }
    }

    /**
     * Arrivals of an open loop: requests are sent at random times whether or not earlier ones have been answered.
     *
     * @param seed the seed of all random choices
     * @param perSecond mean number of requests per second, more than 0
     * @param requests largest number of requests, 1 to {@value #MAXIMUM_REQUESTS}
     * @param time longest time in which requests are sent
     * @param inFlight largest number of open requests, 1 to {@value #MAXIMUM_IN_FLIGHT}; arrivals beyond it are counted
     *     and not sent
     */
    public record Arrivals(long seed, double perSecond, int requests, Duration time, int inFlight) {

        /** Largest number of requests of a run. */
        public static final int MAXIMUM_REQUESTS = 1_000_000;

        /** Largest number of open requests; each one holds a thread. */
        public static final int MAXIMUM_IN_FLIGHT = 2_000;

        /** Checks the bounds. */
        public Arrivals {
            if (!(perSecond > 0) || perSecond > MAXIMUM_REQUESTS) {
                throw new IllegalArgumentException("perSecond must be positive: " + perSecond);
            }
            if (requests < 1 || requests > MAXIMUM_REQUESTS) {
                throw new IllegalArgumentException("requests must be 1 to " + MAXIMUM_REQUESTS + ": " + requests);
            }
            if (inFlight < 1 || inFlight > MAXIMUM_IN_FLIGHT) {
                throw new IllegalArgumentException("inFlight must be 1 to " + MAXIMUM_IN_FLIGHT + ": " + inFlight);
            }
            if (time.isNegative() || time.isZero()) {
                throw new IllegalArgumentException("time must be positive: " + time);
            }
        }
    }

    /**
     * The kinds of requests.
     *
     * @param streams fraction of requests that ask for server-sent events
     * @param batch fraction of requests of the class batch
     * @param tokens number of tokens that each request generates
     * @param promptWords number of words of a prompt
     */
    public record Mix(double streams, double batch, int tokens, int promptWords) {

        /** Checks the bounds. */
        public Mix {
            if (!(streams >= 0 && streams <= 1) || !(batch >= 0 && batch <= 1)) {
                throw new IllegalArgumentException("streams and batch must be fractions from 0 to 1");
            }
            if (tokens < 1 || promptWords < 1) {
                throw new IllegalArgumentException("tokens and promptWords must be positive");
            }
        }
    }
}
