package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.UpstreamId;

/**
 * The upstream chosen for a request.
 *
 * @param upstream the upstream
 * @param incarnation the incarnation of its agent when it was chosen
 * @param servedTarget what is ready there: the target of the query or its fallback
 * @param cachedBlocks number of leading prompt blocks that the upstream probably has in its cache
 * @param examinedCount number of candidates that were examined
 */
public record RouteChoice(
        UpstreamId upstream, long incarnation, RouteTarget servedTarget, int cachedBlocks, int examinedCount) {}
