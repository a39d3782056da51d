package dev.cactusstack.decisions.gossip;

/**
 * The latest known heartbeat of a host. Immutable and thread-safe.
 *
 * @param hostHash hash of the host's name
 * @param incarnation number that identifies a start of the host; a higher one is later
 * @param counter number of heartbeats since that start
 * @param leaving whether the host is leaving
 * @param storeContact what the host knows about its path to the store
 * @param knowsUpstreams whether the host has read the upstreams since that start
 */
public record HeartbeatState(
    int hostHash,
    long incarnation,
    long counter,
    boolean leaving,
    StoreContact storeContact,
    boolean knowsUpstreams) {
  /**
   * Checks whether this state is newer than another one of the same host.
   *
   * @param other the other state
   * @return true for a later start, or for a later heartbeat of the same start
   */
  public boolean isNewerThan(HeartbeatState other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : counter > other.counter;
  }
}
