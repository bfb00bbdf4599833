package io.oleandermoor.coordination.dissemination;

/**
 * Traffic of one disseminator since its start.
 *
 * @param sentMessages messages sent
 * @param sentBytes their encoded size
 * @param receivedMessages messages received
 * @param receivedBytes their encoded size
 */
public record DisseminationCounters(long sentMessages, long sentBytes, long receivedMessages, long receivedBytes) {

    DisseminationCounters sent(int bytes) {
        return new DisseminationCounters(sentMessages + 1, sentBytes + bytes, receivedMessages, receivedBytes);
    }

    DisseminationCounters received(int bytes) {
        return new DisseminationCounters(sentMessages, sentBytes, receivedMessages + 1, receivedBytes + bytes);
    }
}
