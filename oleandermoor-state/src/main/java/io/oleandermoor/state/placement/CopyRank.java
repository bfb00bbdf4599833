package io.oleandermoor.state.placement;

/** Importance of a copy, most important first. A copy may take the memory of copies of lower rank only. */
enum CopyRank {
    /** The only copy of its model. */
    ONLY,
    /** One of the copies to keep of each model where memory allows. */
    DESIRED,
    /** A copy for demand. */
    DEMAND,
    /** A copy that the demand does not need. */
    SURPLUS
}
