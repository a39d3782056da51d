package dev.cactusstack.decisions.gossip;

/**
 * The newest that is known of a host's heartbeat. Immutable and thread-safe.
 *
 * @param hostHash hash of the host's name
 * @param incarnation which start of the host; a higher one is later
 * @param counter heartbeats since that start
 * @param leaving whether the host is leaving
 * @param reachesStore whether the host reaches the store
 * @param knowsUpstreams whether the host has read the upstreams since that start
 */
public record HeartbeatState(
    int hostHash, long incarnation, long counter, boolean leaving, boolean reachesStore, boolean knowsUpstreams) {
  /**
   * Tells whether this is newer.
   *
   * @param o what is known already
   * @return true for a later start, or a later heartbeat of the same start
   */
  public boolean isNewerThan(HeartbeatState o) {
    return incarnation != o.incarnation ? incarnation > o.incarnation : counter > o.counter;
  }
}
