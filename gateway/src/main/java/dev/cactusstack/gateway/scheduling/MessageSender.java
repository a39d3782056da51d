package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.model.Address;

/** Sends messages to other hosts. Confined to the event loop. */
public interface MessageSender {
  /**
   * Sends a message, without any guarantee of delivery.
   *
   * @param message the message
   * @param destination the address of the receiving host
   */
  void send(LinkMessage message, Address destination);
}
