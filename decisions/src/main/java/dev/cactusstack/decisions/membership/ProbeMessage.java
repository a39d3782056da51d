package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.Address;
import java.util.Objects;

/** The messages of failure detection. Immutable and thread-safe. */
public sealed interface ProbeMessage {

  /**
   * Asks the receiver for an acknowledgement.
   *
   * @param number identifies the ping; its acknowledgement carries the same number
   */
  record Ping(long number) implements ProbeMessage {}

  /**
   * Acknowledges a ping.
   *
   * @param number the ping's number
   */
  record Ack(long number) implements ProbeMessage {}

  /**
   * Asks the receiver to ping another member and to forward the acknowledgement.
   *
   * @param number the number that the forwarded acknowledgement carries
   * @param target the member's link address
   */
  record PingRequest(long number, Address target) implements ProbeMessage {
    /** Checks the target. */
    public PingRequest {
      Objects.requireNonNull(target, "target is null");
    }
  }
}
