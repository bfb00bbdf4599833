package io.oleandermoor.state.routing;

/** A copy considered for a request, with its cost. */
record Candidate(ReadyCopy copy, RouteTarget servedTarget, double cost, int cachedBlocks) {}
