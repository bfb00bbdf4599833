package io.oleandermoor.protocol.mapping;

import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.RateDemand;
import io.oleandermoor.protocol.message.RateGrant;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateResponse;
import io.oleandermoor.state.rate.TeamDemand;
import io.oleandermoor.state.rate.TeamGrant;
import java.util.ArrayList;
import java.util.List;

/** Converts messages between entries and rate owners. */
public final class RateMessages {

    private RateMessages() {}

    /**
     * Creates the message of a request.
     *
     * @param group the group of teams
     * @param request the request
     * @return the message
     */
    public static Envelope request(int group, RateRequest request) {
        io.oleandermoor.protocol.message.RateRequest.Builder message =
                io.oleandermoor.protocol.message.RateRequest.newBuilder()
                        .setGroup(group)
                        .setSequence(request.sequence())
                        .setTerm(request.term())
                        .setAcceptedSequence(request.acceptedSequence());
        for (TeamDemand demand : request.demands()) {
            message.addDemands(RateDemand.newBuilder()
                    .setTeam(demand.team().value())
                    .setHeld(demand.held())
                    .setReturned(demand.returned())
                    .setCredited(demand.credited())
                    .setCreditAgeMillis(demand.creditAgeMillis())
                    .setNeeded(demand.needed())
                    .setLargest(demand.largest())
                    .setWanted(demand.wanted()));
        }
        return Envelope.newBuilder().setRateRequest(message).build();
    }

    /**
     * Converts a request.
     *
     * @param client the process that sent it, as its connection says
     * @param message the message
     * @return the request
     */
    public static RateRequest fromMessage(RateClientId client, io.oleandermoor.protocol.message.RateRequest message) {
        List<TeamDemand> demands = new ArrayList<>();
        for (RateDemand demand : message.getDemandsList()) {
            demands.add(new TeamDemand(
                    new TeamName(demand.getTeam()),
                    demand.getHeld(),
                    demand.getReturned(),
                    demand.getCredited(),
                    demand.getCreditAgeMillis(),
                    demand.getNeeded(),
                    demand.getLargest(),
                    demand.getWanted()));
        }
        return new RateRequest(
                client, message.getSequence(), message.getTerm(), message.getAcceptedSequence(), demands);
    }

    /**
     * Creates the message of a response.
     *
     * @param group the group of teams
     * @param response the response
     * @return the message
     */
    public static Envelope response(int group, RateResponse response) {
        RateGrant.Builder message = RateGrant.newBuilder()
                .setGroup(group)
                .setSequence(response.sequence())
                .setOwner(response.owner())
                .setTerm(response.term())
                .setValidMillis(response.validMillis());
        for (TeamGrant grant : response.grants()) {
            message.addGrants(io.oleandermoor.protocol.message.TeamGrant.newBuilder()
                    .setTeam(grant.team().value())
                    .setTokens(grant.tokens())
                    .setRetryAfterMillis(grant.retryAfterMillis()));
        }
        return Envelope.newBuilder().setRateGrant(message).build();
    }

    /**
     * Converts a response.
     *
     * @param message the message
     * @return the response
     */
    public static RateResponse fromMessage(RateGrant message) {
        List<TeamGrant> grants = new ArrayList<>();
        for (io.oleandermoor.protocol.message.TeamGrant grant : message.getGrantsList()) {
            grants.add(new TeamGrant(new TeamName(grant.getTeam()), grant.getTokens(), grant.getRetryAfterMillis()));
        }
        return new RateResponse(
                message.getSequence(), message.getOwner(), message.getTerm(), message.getValidMillis(), grants);
    }
}
