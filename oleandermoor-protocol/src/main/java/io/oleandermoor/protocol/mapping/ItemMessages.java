package io.oleandermoor.protocol.mapping;

import com.google.protobuf.ByteString;
import io.oleandermoor.coordination.dissemination.BucketDigest;
import io.oleandermoor.coordination.dissemination.ConfirmedVersion;
import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.coordination.dissemination.ItemMessage;
import io.oleandermoor.coordination.dissemination.ItemVersion;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Items;
import java.util.List;
import java.util.Optional;

/** Converts messages of dissemination. */
public final class ItemMessages {

    private ItemMessages() {}

    /**
     * Converts a message.
     *
     * @param message the message of the decision core
     * @return the message for a connection
     */
    public static Envelope toMessage(ItemMessage message) {
        Items.Builder items = Items.newBuilder()
                .setNews(message.news())
                .addAllListed(message.listed())
                .addAllWanted(message.wanted())
                .setExchange(message.exchange())
                .setAnswers(message.answers());
        message.items()
                .forEach(item -> items.addItems(io.oleandermoor.protocol.message.Item.newBuilder()
                        .setName(item.name())
                        .setVersion(item.version())
                        .setContent(ByteString.copyFrom(item.content()))));
        message.digests()
                .forEach(digest -> items.addDigests(io.oleandermoor.protocol.message.BucketDigest.newBuilder()
                        .setBucket(digest.bucket())
                        .setHash(digest.hash())));
        message.versions()
                .forEach(version -> items.addVersions(io.oleandermoor.protocol.message.ItemVersion.newBuilder()
                        .setName(version.name())
                        .setVersion(version.version())));
        message.confirmed()
                .ifPresent(
                        confirmed -> items.setConfirmed(io.oleandermoor.protocol.message.ConfirmedVersion.newBuilder()
                                .setVersion(confirmed.version())
                                .setAgeMillis(confirmed.ageMillis())));
        return Envelope.newBuilder().setItems(items).build();
    }

    /**
     * Converts a message.
     *
     * @param items the message of a connection
     * @return the message for the decision core; items without a name or version are left out
     */
    public static ItemMessage fromMessage(Items items) {
        List<Item> content = items.getItemsList().stream()
                .filter(item -> !item.getName().isEmpty() && item.getVersion() > 0)
                .map(item -> new Item(
                        item.getName(), item.getVersion(), item.getContent().toByteArray()))
                .toList();
        return new ItemMessage(
                items.getNews(),
                content,
                items.getDigestsList().stream()
                        .map(digest -> new BucketDigest(digest.getBucket(), digest.getHash()))
                        .toList(),
                items.getListedList(),
                items.getVersionsList().stream()
                        .map(version -> new ItemVersion(version.getName(), version.getVersion()))
                        .toList(),
                items.getWantedList(),
                items.getExchange(),
                items.getAnswers(),
                items.hasConfirmed()
                        ? Optional.of(new ConfirmedVersion(
                                items.getConfirmed().getVersion(),
                                items.getConfirmed().getAgeMillis()))
                        : Optional.empty());
    }
}
