package io.oleandermoor.state.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;

/** Record of a non-repeatable call with an idempotency key, stored in the key-value service as JSON. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "state")
@JsonSubTypes({
    @JsonSubTypes.Type(value = IdempotencyRecord.Started.class, name = "started"),
    @JsonSubTypes.Type(value = IdempotencyRecord.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = IdempotencyRecord.Released.class, name = "released")
})
public sealed interface IdempotencyRecord {

    /**
     * Returns the SHA-256 of the request body.
     *
     * @return 64 hexadecimal digits
     */
    String bodyHash();

    /**
     * Returns the unique identifier by which an entry recognizes its own record.
     *
     * @return the attempt identifier
     */
    String attemptId();

    /**
     * The call may be running; only the entry that wrote the record may send it to an upstream.
     *
     * @param bodyHash the SHA-256 of the request body
     * @param attemptId the unique identifier of the call at that entry
     * @param entry the entry that wrote the record
     * @param upstream the upstream chosen first
     * @param startedAtEpochMillis the wall-clock time at which the entry wrote the record, in milliseconds
     */
    record Started(String bodyHash, String attemptId, InstanceId entry, UpstreamId upstream, long startedAtEpochMillis)
            implements IdempotencyRecord {}

    /**
     * The call ran.
     *
     * @param bodyHash the SHA-256 of the request body
     * @param attemptId the unique identifier of the call at that entry
     * @param answer the response that is replayed to repeats of the call
     */
    record Finished(String bodyHash, String attemptId, StoredResponse answer) implements IdempotencyRecord {}

    /**
     * The call did not run and never will; a repeat may start a new call.
     *
     * @param bodyHash the SHA-256 of the request body
     * @param attemptId the unique identifier of the call at that entry
     */
    record Released(String bodyHash, String attemptId) implements IdempotencyRecord {}
}
