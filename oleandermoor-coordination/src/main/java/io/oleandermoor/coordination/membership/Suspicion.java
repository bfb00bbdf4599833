package io.oleandermoor.coordination.membership;

import io.oleandermoor.state.identity.InstanceId;

/**
 * Statement of a process that another does not answer. The other refutes it by a newer record.
 *
 * @param instance the process that does not answer
 * @param version version of its last record that the suspecting process knows
 */
public record Suspicion(InstanceId instance, long version) {}
