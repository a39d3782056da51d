package dev.cactusstack.decisions.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Rendezvous (highest-random-weight) hashing (Thaler and Ravishankar, 1998): every host that knows
 * the same candidates ranks them the same way, and the departure of a candidate moves only the keys
 * that were assigned to it.
 *
 * <p>Stateless and thread-safe.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns the highest-ranked candidate for a key.
   *
   * @param key the key to assign
   * @param candidates the candidates, identified by their {@code toString()}
   * @param <T> the type of a candidate
   * @return the highest-ranked candidate, or empty if there are none
   */
  public static <T> Optional<T> first(String key, Collection<T> candidates) {
    Objects.requireNonNull(key, "key is null");
    return candidates.stream().max(byScore(key));
  }

  /**
   * Ranks candidates for a key.
   *
   * @param key the key to assign
   * @param candidates the candidates, identified by their {@code toString()}
   * @param count maximum number of candidates to return
   * @param <T> the type of a candidate
   * @return the highest-ranked candidates, best first
   */
  public static <T> List<T> ranked(String key, Collection<T> candidates, int count) {
    Objects.requireNonNull(key, "key is null");
    return candidates.stream().sorted(byScore(key).reversed()).limit(count).toList();
  }

  private static <T> Comparator<T> byScore(String key) {
    return Comparator.<T>comparingLong(c -> score(key, c.toString()))
        .thenComparing(Object::toString);
  }

  /**
   * Returns the score of a candidate for a key: FNV-1a over both texts, followed by the MurmurHash3
   * finalizer for an even distribution. The highest-ranked candidate has the highest score; of
   * equal scores, that of the later text ranks higher.
   *
   * @param key the key to assign
   * @param candidate the text that identifies the candidate
   * @return the score
   */
  public static long score(String key, String candidate) {
    long hash = FNV_OFFSET;
    for (byte b : (key + '\n' + candidate).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }
}
