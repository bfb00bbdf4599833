package io.oleandermoor.state.memory;

/** What an engine does with the fencing number of an order or listing request. */
public enum Fencing {
    /** The engine rejects a request whose number is lower than the highest one it has seen. */
    HONOURED {
        @Override
        boolean preventsEffect(long orderTerm, long term) {
            return orderTerm < term;
        }
    },
    /** The engine executes orders of every number. */
    IGNORED {
        @Override
        boolean preventsEffect(long orderTerm, long term) {
            return false;
        }
    };

    /** Returns whether an order cannot take effect once the engine has executed a request of the given term. */
    abstract boolean preventsEffect(long orderTerm, long term);
}
