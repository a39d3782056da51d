package dev.cactusstack.link;

import dev.cactusstack.decisions.membership.Member;
import java.util.List;
import java.util.Objects;

/**
 * A decoded datagram. Immutable and thread-safe.
 *
 * @param sender the state of the sender as it reports itself
 * @param updates membership updates about other members
 * @param body the message body
 */
public record LinkMessage(Member sender, List<Member> updates, LinkBody body) {

  /** Checks the components and copies the updates. */
  public LinkMessage {
    Objects.requireNonNull(sender, "sender is null");
    updates = List.copyOf(updates);
    Objects.requireNonNull(body, "body is null");
  }
}
