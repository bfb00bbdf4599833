package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.InstanceId;

/**
 * One process that spends tokens. A restarted process has another incarnation, so grants of the process before it stay
 * counted until they expire.
 *
 * @param instance the instance of the entry
 * @param incarnation start time of the process
 */
public record RateClientId(InstanceId instance, long incarnation) {}
