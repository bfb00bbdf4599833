package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.InstanceId;

/**
 * Identity of a process that spends tokens. A restarted process has a new incarnation, so grants of the previous
 * process stay counted until they expire.
 *
 * @param instance the instance of the entry
 * @param incarnation start time of the process
 */
public record RateClientId(InstanceId instance, long incarnation) {}
