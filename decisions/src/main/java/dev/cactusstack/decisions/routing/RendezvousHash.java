package dev.cactusstack.decisions.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Highest-random-weight hashing (Thaler and Ravishankar, 1998): every host that knows the same
 * candidates ranks them the same way, and a candidate's departure moves only what it held.
 *
 * <p>Stateless and thread-safe.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Finds the first-ranked candidate for a key.
   *
   * @param key what is to be placed
   * @param candidates where it can be placed, compared by their text
   * @param <T> the type of a candidate
   * @return the first-ranked candidate, or nothing when there are none
   */
  public static <T> Optional<T> first(String key, Collection<T> candidates) {
    Objects.requireNonNull(key, "key is null");
    return candidates.stream().max(order(key));
  }

  /**
   * Ranks candidates for a key.
   *
   * @param key what is to be placed
   * @param candidates where it can be placed, compared by their text
   * @param count most candidates to return
   * @param <T> the type of a candidate
   * @return the highest-ranked candidates, best first
   */
  public static <T> List<T> ranked(String key, Collection<T> candidates, int count) {
    Objects.requireNonNull(key, "key is null");
    return candidates.stream().sorted(order(key).reversed()).limit(count).toList();
  }

  private static <T> Comparator<T> order(String key) {
    return Comparator.<T>comparingLong(c -> score(key, c.toString()))
        .thenComparing(Object::toString);
  }

  /** FNV-1a over both texts, finished with the MurmurHash3 mixer for an even spread. */
  private static long score(String key, String candidate) {
    long h = FNV_OFFSET;
    for (byte b : (key + '\n' + candidate).getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
    h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return h ^ (h >>> 33);
  }
}
