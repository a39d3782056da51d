package dev.cactusstack.gateway.net;

/** The request that a response belongs to. */
public enum ResponseOwner {
  /** The current request, as the response itself says. */
  CURRENT,
  /** The current request, because there was no other. A late copy could not be recognised. */
  CURRENT_BY_ELIMINATION,
  /** Certainly another request of the connection, as the response itself says. */
  ANOTHER,
  /** Possibly the current request, so that no later response may be taken for its own. */
  UNKNOWN;

  /** Returns whether the connection may carry another request after the response. */
  boolean allowsReuse() {
    return this == CURRENT;
  }
}
