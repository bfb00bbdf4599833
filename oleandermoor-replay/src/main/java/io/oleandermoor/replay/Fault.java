package io.oleandermoor.replay;

/** A fake that breaks its promise on purpose, to prove that the invariant checks notice. */
enum Fault {
    /** An engine takes twice the memory that the order states. */
    TAKES_DOUBLE_MEMORY,
    /** An agent runs each call twice. */
    RUNS_TWICE,
    /** An agent reports calls as not run after it has started them. */
    NOT_RUN_AFTER_START,
    /** An entry answers each request twice. */
    ANSWERS_TWICE,
    /** An entry uses no tokens of its rate client. */
    IGNORES_RATE,
    /** An engine never completes a load of the first model after the warm-up and forgets its copy. */
    LOSES_MODEL
}
