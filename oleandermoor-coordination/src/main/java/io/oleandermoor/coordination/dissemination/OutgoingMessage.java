package io.oleandermoor.coordination.dissemination;

import io.oleandermoor.state.identity.InstanceId;

/**
 * A message to be sent to a peer. Losing it does no harm; the next exchange repairs the gap.
 *
 * @param receiver the peer
 * @param message the message
 */
public record OutgoingMessage(InstanceId receiver, ItemMessage message) {}
