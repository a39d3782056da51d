package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.Address;
import java.util.List;
import java.util.Objects;

/**
 * A message to be sent. Immutable and thread-safe.
 *
 * @param receiver the receiver's link address
 * @param probe the message
 * @param sender the sending member's claim about itself
 * @param updates claims about other members
 */
public record OutgoingMessage(
    Address receiver, ProbeMessage probe, Member sender, List<Member> updates) {

  /** Checks the components and copies the updates. */
  public OutgoingMessage {
    Objects.requireNonNull(receiver, "receiver is null");
    Objects.requireNonNull(probe, "probe is null");
    Objects.requireNonNull(sender, "sender is null");
    updates = List.copyOf(updates);
  }
}
