package dev.cactusstack.decisions.gossip;

/**
 * The latest known heartbeat of a host. Immutable and thread-safe.
 *
 * <p>A heartbeat is passed on from host to host, so its receipt says nothing about how long ago it
 * was sent; {@code ageMs} does.
 *
 * @param hostHash hash of the host's name
 * @param incarnation number that identifies a start of the host; a higher one is later
 * @param counter number of heartbeats since that start
 * @param leaving whether the host is leaving
 * @param storeContact what the host knows about its path to the store
 * @param knowsUpstreams whether the host has read the upstreams since that start
 * @param ageMs time since the host itself sent the heartbeat, in milliseconds, without the time
 *     that messages took
 */
public record HeartbeatState(
    int hostHash,
    long incarnation,
    long counter,
    boolean leaving,
    StoreContact storeContact,
    boolean knowsUpstreams,
    long ageMs) {
  /**
   * Creates a host's own heartbeat.
   *
   * @param hostHash hash of the host's name
   * @param incarnation number that identifies a start of the host
   * @param counter number of heartbeats since that start
   * @param leaving whether the host is leaving
   * @param storeContact what the host knows about its path to the store
   * @param knowsUpstreams whether the host has read the upstreams since that start
   */
  public HeartbeatState(
      int hostHash,
      long incarnation,
      long counter,
      boolean leaving,
      StoreContact storeContact,
      boolean knowsUpstreams) {
    this(hostHash, incarnation, counter, leaving, storeContact, knowsUpstreams, 0);
  }

  /**
   * Returns this heartbeat as it is passed on.
   *
   * @param newAgeMs time since the host itself sent it, in milliseconds
   * @return the same heartbeat of that age
   */
  public HeartbeatState withAge(long newAgeMs) {
    return new HeartbeatState(
        hostHash, incarnation, counter, leaving, storeContact, knowsUpstreams, newAgeMs);
  }

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
