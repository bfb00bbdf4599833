package io.oleandermoor.state.placement;

/** Rank of a copy, most important first. A copy may replace only copies of lower rank. */
enum CopyRank {
    /** The only copy of its model. */
    ONLY,
    /** One of the copies that each model should have if memory allows. */
    DESIRED,
    /** An additional copy that the demand requires. */
    DEMAND,
    /** An additional copy that the demand does not require. */
    SURPLUS
}
