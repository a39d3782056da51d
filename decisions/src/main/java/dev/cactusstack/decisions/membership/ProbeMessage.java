package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.Address;
import java.util.Objects;

/** The messages of failure detection. Immutable and thread-safe. */
public sealed interface ProbeMessage {

  /**
   * Asks the receiver to answer.
   *
   * @param number matches the answer to the question
   */
  record Ping(long number) implements ProbeMessage {}

  /**
   * Answers a ping.
   *
   * @param number the ping's number
   */
  record Ack(long number) implements ProbeMessage {}

  /**
   * Asks the receiver to ping another member and to pass the answer on.
   *
   * @param number the number that the passed-on answer carries
   * @param target the member's link address
   */
  record PingRequest(long number, Address target) implements ProbeMessage {
    /** Checks the target. */
    public PingRequest {
      Objects.requireNonNull(target, "target is null");
    }
  }
}
