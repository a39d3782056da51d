package dev.cactusstack.host;

import dev.cactusstack.host.control.Controllers;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.model.Address;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** Passes datagrams to the controllers once they exist; drops earlier ones. Thread-safe. */
final class DeferredReceiver implements BiConsumer<Address, LinkMessage> {
  private volatile @Nullable Controllers controllers;

  void setControllers(Controllers c) {
    controllers = c;
  }

  @Override
  public void accept(Address from, LinkMessage m) {
    Controllers c = controllers;
    if (c != null) {
      c.receive(from, m);
    }
  }
}
