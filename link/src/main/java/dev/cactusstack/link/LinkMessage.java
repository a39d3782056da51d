package dev.cactusstack.link;

import dev.cactusstack.decisions.membership.Member;
import java.util.List;
import java.util.Objects;

/**
 * A decoded datagram. Immutable and thread-safe.
 *
 * @param sender the sender's claim about itself
 * @param updates claims about other members
 * @param body what it asks or tells
 */
public record LinkMessage(Member sender, List<Member> updates, LinkBody body) {

  /** Checks the components and copies the updates. */
  public LinkMessage {
    Objects.requireNonNull(sender, "sender is null");
    updates = List.copyOf(updates);
    Objects.requireNonNull(body, "body is null");
  }
}
