package io.oleandermoor.state.memory;

/** How an engine handles the fencing number of an order or listing request. */
public enum Fencing {
    /** The engine rejects a request whose fencing number is lower than the highest one it has seen. */
    HONOURED {
        @Override
        boolean preventsEffect(long orderTerm, long term) {
            return orderTerm < term;
        }
    },
    /** The engine executes orders regardless of their fencing number. */
    IGNORED {
        @Override
        boolean preventsEffect(long orderTerm, long term) {
            return false;
        }
    };

    /** Returns whether an order can no longer take effect once the engine has executed a request of the given term. */
    abstract boolean preventsEffect(long orderTerm, long term);
}
