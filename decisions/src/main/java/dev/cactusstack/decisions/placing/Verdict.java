package dev.cactusstack.decisions.placing;

import dev.cactusstack.model.site.UpstreamRegistration;

/** What was decided about an ask. Implementations are immutable. */
public sealed interface Verdict {
  /**
   * Returns the ask that this is about.
   *
   * @return its key
   */
  AskKey key();

  /**
   * The request may be sent to an upstream now; one of its slots is held until a report.
   *
   * @param key the ask
   * @param upstream where to send the request
   */
  record Placed(AskKey key, UpstreamRegistration upstream) implements Verdict {}

  /**
   * The request can't be served in time.
   *
   * @param key the ask
   * @param retryAfterMs when there is likely to be room, in milliseconds from now
   */
  record TurnedAway(AskKey key, long retryAfterMs) implements Verdict {}

  /**
   * The request waits for a slot; a later verdict follows.
   *
   * @param key the ask
   */
  record Waits(AskKey key) implements Verdict {}
}
