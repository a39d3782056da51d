package dev.cactusstack.host;

import dev.cactusstack.decisions.limits.TokenBucket;
import dev.cactusstack.host.control.LinkSender;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.link.LinkTransport;
import dev.cactusstack.model.Address;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/** Sends messages while the budget for control traffic allows; drops the others. Thread-safe. */
final class BudgetedSender implements LinkSender {
  private final LinkTransport transport;
  private final TokenBucket budget;
  private final Ticker ticker;

  private final Predicate<Address> crossesDataCentres;
  private final LongAdder bytesToOtherDataCentres = new LongAdder();

  BudgetedSender(
      LinkTransport transport,
      TokenBucket budget,
      Ticker ticker,
      Predicate<Address> crossesDataCentres) {
    this.crossesDataCentres = crossesDataCentres;
    this.transport = transport;
    this.budget = budget;
    this.ticker = ticker;
  }

  /** Bytes sent to hosts of other data centres since the start. */
  long bytesToOtherDataCentres() {
    return bytesToOtherDataCentres.sum();
  }

  @Override
  public void send(Address to, LinkMessage m) {
    int sent = transport.send(to, m, bytes -> budget.tryAcquire(bytes, ticker.millis()));
    if (crossesDataCentres.test(to)) {
      bytesToOtherDataCentres.add(sent);
    }
  }
}
