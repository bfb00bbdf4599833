package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.UpstreamId;

/**
 * The upstream chosen for a request.
 *
 * @param upstream the chosen upstream
 * @param incarnation the incarnation of its agent at the time of the choice
 * @param servedTarget the target that the upstream has ready: the target of the query or its fallback
 * @param cachedBlocks estimated number of leading prompt blocks in the cache of the upstream
 * @param examinedCount number of candidates that were examined
 */
public record RouteChoice(
        UpstreamId upstream, long incarnation, RouteTarget servedTarget, int cachedBlocks, int examinedCount) {}
