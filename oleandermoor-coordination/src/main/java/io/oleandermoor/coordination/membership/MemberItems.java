package io.oleandermoor.coordination.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.InstanceId;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Member records and suspicions as items. Thread-safe. */
public final class MemberItems {

    /** Prefix of items that carry a {@link MemberRecord}. */
    public static final String MEMBER_PREFIX = "member/";

    /** Prefix of items that carry a {@link Suspicion}. */
    public static final String SUSPICION_PREFIX = "suspicion/";

    /** Unknown properties are ignored, because a newer process may write them while the fleet is being updated. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private MemberItems() {}

    /**
     * Writes a record.
     *
     * @param member the record
     * @return the item
     */
    public static Item write(MemberRecord member) {
        Json json = new Json(
                member.role(),
                member.peerAddress(),
                member.domain(),
                member.incarnation(),
                member.sequence(),
                member.status(),
                member.agent().map(AgentDetail::toJson).orElse(null));
        try {
            return new Item(MEMBER_PREFIX + member.instance(), member.version(), MAPPER.writeValueAsBytes(json));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("member records can be written as JSON", exception);
        }
    }

    /**
     * Reads a record.
     *
     * @param item an item whose name starts with {@link #MEMBER_PREFIX}
     * @return the record
     * @throws IOException if the content is not a record
     */
    public static MemberRecord read(Item item) throws IOException {
        Json json = MAPPER.readValue(item.content(), Json.class);
        return new MemberRecord(
                new InstanceId(item.name().substring(MEMBER_PREFIX.length())),
                json.role,
                json.peerAddress,
                json.domain,
                json.incarnation,
                json.sequence,
                json.status,
                Optional.ofNullable(json.agent).map(AgentDetail.Json::toDetail));
    }

    /**
     * Writes a suspicion.
     *
     * @param suspicion the suspicion
     * @return the item
     */
    public static Item write(Suspicion suspicion) {
        byte[] version = Long.toString(suspicion.version()).getBytes(StandardCharsets.UTF_8);
        return new Item(SUSPICION_PREFIX + suspicion.instance(), suspicion.version(), version);
    }

    /**
     * Reads a suspicion.
     *
     * @param item an item whose name starts with {@link #SUSPICION_PREFIX}
     * @return the suspicion
     */
    public static Suspicion readSuspicion(Item item) {
        return new Suspicion(new InstanceId(item.name().substring(SUSPICION_PREFIX.length())), item.version());
    }

    private record Json(
            @JsonProperty("role") MemberRole role,
            @JsonProperty("address") String peerAddress,
            @JsonProperty("domain") FailureDomain domain,
            @JsonProperty("incarnation") long incarnation,
            @JsonProperty("sequence") long sequence,
            @JsonProperty("status") MemberStatus status,
            @JsonProperty("agent") AgentDetail.@Nullable Json agent) {}
}
