package dev.cactusstack.decisions.gossip;

/**
 * The newest that is known of a host's heartbeat. Immutable and thread-safe.
 *
 * @param host hash of the host's name
 * @param incarnation which start of the host; a higher one is later
 * @param beat heartbeats since that start
 * @param leaving whether the host is leaving
 * @param informed whether the host reaches the store
 * @param knowing whether the host has read the upstreams since that start
 */
public record Pulse(
    int host, long incarnation, long beat, boolean leaving, boolean informed, boolean knowing) {
  /**
   * Tells whether this is newer.
   *
   * @param o what is known already
   * @return true for a later start, or a later heartbeat of the same start
   */
  public boolean newerThan(Pulse o) {
    return incarnation != o.incarnation ? incarnation > o.incarnation : beat > o.beat;
  }
}
