package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;

/**
 * Non-repeatable call with an idempotency key, as received by one entry.
 *
 * @param bodyHash the SHA-256 of the request body
 * @param attemptId an identifier that is unique to this call; a repeat of the call has another one
 * @param entry the entry that received the call
 * @param upstream the upstream chosen for the call
 */
public record KeyedCall(String bodyHash, String attemptId, InstanceId entry, UpstreamId upstream) {}
