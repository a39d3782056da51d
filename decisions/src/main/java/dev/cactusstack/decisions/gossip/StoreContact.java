package dev.cactusstack.decisions.gossip;

/** What a host knows about its path to the store. Sent by position. Thread-safe. */
public enum StoreContact {
  /** The host has not called the store lately. */
  UNKNOWN,
  /** The host has read the upstream registrations within about a second. */
  CONFIRMED,
  /** The host's last calls failed. */
  FAILING
}
