package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;

/**
 * A non-repeatable call that carries an idempotency key, as one entry received it once.
 *
 * @param bodyHash the SHA-256 of the body
 * @param attemptId a text that no other call has, not even a repeat of this one
 * @param entry the entry
 * @param upstream the upstream chosen for the call
 */
public record KeyedCall(String bodyHash, String attemptId, InstanceId entry, UpstreamId upstream) {}
