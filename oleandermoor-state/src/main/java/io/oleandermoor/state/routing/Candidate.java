package io.oleandermoor.state.routing;

/** A copy considered for a request, with its cost. */
record Candidate(Copy copy, RouteTarget ready, double cost, int heldBlocks) {}
