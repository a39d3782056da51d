package dev.cactusstack.host.control;

import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.model.Address;

/** Sends messages to other hosts without blocking. Implementations are thread-safe. */
@FunctionalInterface
public interface LinkSender {

  /**
   * Sends a message, which may be lost.
   *
   * @param to the receiver's link address
   * @param m the message
   */
  void send(Address to, LinkMessage m);
}
