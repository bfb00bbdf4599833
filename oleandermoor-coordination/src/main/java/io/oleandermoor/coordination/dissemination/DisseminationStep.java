package io.oleandermoor.coordination.dissemination;

import io.oleandermoor.state.identity.InstanceId;
import java.util.List;

/**
 * What the daemon has to do after a step of the disseminator.
 *
 * @param accepted items that are new in this process, in the order in which they came
 * @param messages messages to send
 * @param unanswered peers that did not answer an exchange in time; a reason to probe them
 */
public record DisseminationStep(List<Item> accepted, List<OutgoingMessage> messages, List<InstanceId> unanswered) {

    /** Copies the lists. */
    public DisseminationStep {
        accepted = List.copyOf(accepted);
        messages = List.copyOf(messages);
        unanswered = List.copyOf(unanswered);
    }
}
