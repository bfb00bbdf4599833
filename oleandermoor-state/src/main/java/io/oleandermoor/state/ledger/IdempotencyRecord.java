package io.oleandermoor.state.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;

/** Record of a non-repeatable call in the key-value service. Immutable; written to JSON by Jackson. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "state")
@JsonSubTypes({
    @JsonSubTypes.Type(value = IdempotencyRecord.Started.class, name = "started"),
    @JsonSubTypes.Type(value = IdempotencyRecord.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = IdempotencyRecord.Released.class, name = "released")
})
public sealed interface IdempotencyRecord {

    /**
     * Returns the SHA-256 of the body of the call.
     *
     * @return 64 hexadecimal digits
     */
    String bodyHash();

    /**
     * Returns the unique text by which an entry recognises its own record.
     *
     * @return the attempt id
     */
    String attemptId();

    /**
     * The call may run; only the entry that wrote the record may send it.
     *
     * @param bodyHash the SHA-256 of the body
     * @param attemptId the unique text of the entry's call
     * @param entry the entry
     * @param upstream the upstream chosen first
     * @param startedAtEpochMillis the time of the entry's wall clock, in milliseconds
     */
    record Started(String bodyHash, String attemptId, InstanceId entry, UpstreamId upstream, long startedAtEpochMillis)
            implements IdempotencyRecord {}

    /**
     * The call ran.
     *
     * @param bodyHash the SHA-256 of the body
     * @param attemptId the unique text of the entry's call
     * @param answer the answer for repeats
     */
    record Finished(String bodyHash, String attemptId, StoredResponse answer) implements IdempotencyRecord {}

    /**
     * The call did not run and never will; a repeat may start it anew.
     *
     * @param bodyHash the SHA-256 of the body
     * @param attemptId the unique text of the entry's call
     */
    record Released(String bodyHash, String attemptId) implements IdempotencyRecord {}
}
