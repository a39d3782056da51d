package dev.cactusstack.host;

import dev.cactusstack.decisions.limits.SpendingLimit;
import dev.cactusstack.host.control.LinkSender;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.link.LinkTransport;
import dev.cactusstack.model.Address;

/** Sends messages while the budget for control traffic allows; drops the others. Thread-safe. */
final class BudgetedSender implements LinkSender {
  private final LinkTransport transport;
  private final SpendingLimit budget;
  private final Ticker ticker;

  BudgetedSender(LinkTransport transport, SpendingLimit budget, Ticker ticker) {
    this.transport = transport;
    this.budget = budget;
    this.ticker = ticker;
  }

  @Override
  public void send(Address to, LinkMessage m) {
    transport.send(to, m, bytes -> budget.spend(bytes, ticker.millis()));
  }
}
