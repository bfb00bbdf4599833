package io.oleandermoor.coordination.dissemination;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A message between the disseminators of two processes.
 *
 * @param news true if the items are new and to be passed on, false if they fill gaps
 * @param items items that the receiver may lack
 * @param digests digests of the sender's buckets, which the receiver compares with its own
 * @param listed buckets of which {@code versions} has all items
 * @param versions versions that the sender has
 * @param wanted names of items that the sender asks for
 * @param exchange number of the exchange that is to be answered, or 0
 * @param answers number of the exchange that is answered, or 0
 * @param confirmed what the sender knows about the current configuration; only in answers
 */
public record ItemMessage(
        boolean news,
        List<Item> items,
        List<BucketDigest> digests,
        List<Integer> listed,
        List<ItemVersion> versions,
        List<String> wanted,
        long exchange,
        long answers,
        Optional<ConfirmedVersion> confirmed) {

    /** Length prefix, envelope and tag of the payload. */
    private static final int FRAME_BYTES = 8;

    /** Copies the lists. */
    public ItemMessage {
        items = List.copyOf(items);
        digests = List.copyOf(digests);
        listed = List.copyOf(listed);
        versions = List.copyOf(versions);
        wanted = List.copyOf(wanted);
    }

    /**
     * Returns the size of the message in protobuf encoding, without transport headers.
     *
     * @return the size in bytes, up to a few bytes
     */
    public int encodedBytes() {
        int size = FRAME_BYTES + (news ? 2 : 0);
        for (Item item : items) {
            size += framed(text(item.name()) + 1 + varint(item.version()) + framed(item.content().length));
        }
        size += digests.size() * 14 + listed.size() * 3;
        for (ItemVersion version : versions) {
            size += framed(text(version.name()) + 1 + varint(version.version()));
        }
        for (String name : wanted) {
            size += text(name);
        }
        size += exchange == 0 ? 0 : 1 + varint(exchange);
        size += answers == 0 ? 0 : 1 + varint(answers);
        size += confirmed
                .map(value -> 4 + varint(value.version()) + varint(value.ageMillis()))
                .orElse(0);
        return size;
    }

    boolean isEmpty() {
        return items.isEmpty()
                && digests.isEmpty()
                && listed.isEmpty()
                && versions.isEmpty()
                && wanted.isEmpty()
                && exchange == 0
                && answers == 0;
    }

    /**
     * Returns a builder of an empty message.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    private static int text(String value) {
        return framed(value.getBytes(StandardCharsets.UTF_8).length);
    }

    private static int framed(int length) {
        return 1 + varint(length) + length;
    }

    private static int varint(long value) {
        return Math.max(1, (Long.SIZE - Long.numberOfLeadingZeros(value) + 6) / 7);
    }

    /** Collects the parts of a message. Not thread-safe. */
    public static final class Builder {

        private final List<Item> items = new ArrayList<>();
        private final List<BucketDigest> digests = new ArrayList<>();
        private final List<Integer> listed = new ArrayList<>();
        private final List<ItemVersion> versions = new ArrayList<>();
        private final List<String> wanted = new ArrayList<>();
        private boolean news;
        private long exchange;
        private long answers;
        private Optional<ConfirmedVersion> confirmed = Optional.empty();

        private Builder() {}

        /**
         * Marks the items as news.
         *
         * @param isNews true if they are to be passed on
         * @return this builder
         */
        public Builder news(boolean isNews) {
            news = isNews;
            return this;
        }

        /**
         * Adds items.
         *
         * @param added the items
         * @return this builder
         */
        public Builder items(List<Item> added) {
            items.addAll(added);
            return this;
        }

        /**
         * Adds digests.
         *
         * @param added the digests
         * @return this builder
         */
        public Builder digests(List<BucketDigest> added) {
            digests.addAll(added);
            return this;
        }

        /**
         * Adds a bucket with all its versions.
         *
         * @param bucket the number of the bucket
         * @param content the versions of all items in it
         * @return this builder
         */
        public Builder list(int bucket, List<ItemVersion> content) {
            listed.add(bucket);
            versions.addAll(content);
            return this;
        }

        /**
         * Adds versions without a bucket.
         *
         * @param added the versions
         * @return this builder
         */
        public Builder versions(List<ItemVersion> added) {
            versions.addAll(added);
            return this;
        }

        /**
         * Asks for items.
         *
         * @param names their names
         * @return this builder
         */
        public Builder wanted(List<String> names) {
            wanted.addAll(names);
            return this;
        }

        /**
         * Asks for an answer.
         *
         * @param number the number of the exchange
         * @return this builder
         */
        public Builder exchange(long number) {
            exchange = number;
            return this;
        }

        /**
         * Answers an exchange.
         *
         * @param number the number of the exchange
         * @param confirmation what is known about the current configuration
         * @return this builder
         */
        public Builder answers(long number, Optional<ConfirmedVersion> confirmation) {
            answers = number;
            confirmed = confirmation;
            return this;
        }

        /**
         * Returns the message.
         *
         * @return the message
         */
        public ItemMessage build() {
            return new ItemMessage(news, items, digests, listed, versions, wanted, exchange, answers, confirmed);
        }
    }
}
