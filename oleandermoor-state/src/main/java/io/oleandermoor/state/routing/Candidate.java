package io.oleandermoor.state.routing;

/** A copy that was examined for a request, with its estimated cost and the number of prompt blocks it has cached. */
record Candidate(ReadyCopy copy, RouteTarget servedTarget, double cost, int cachedBlocks) {}
