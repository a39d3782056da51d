package dev.cactusstack.settings;

import dev.cactusstack.model.Address;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The link between entry hosts. Immutable and thread-safe.
 *
 * @param address where other hosts send datagrams
 * @param keys the accepted keys; the first signs
 * @param maxBytesPerSecond most bytes to send in a second, for control
 */
public record LinkSettings(Address address, List<Key> keys, int maxBytesPerSecond) {
  private static final int MIN_SECRET_HEX_DIGITS = 32;

  /**
   * A shared secret.
   *
   * @param id the number that datagrams name it by
   * @param secret the secret
   */
  public record Key(int id, byte[] secret) {
    @Override
    public String toString() {
      return "Key(" + id + ")";
    }
  }

  /** Copies the keys. */
  public LinkSettings {
    Objects.requireNonNull(address, "address is null");
    keys = List.copyOf(keys);
  }

  static LinkSettings read(Section s) {
    Address address = s.address("address", "127.0.0.1:7946");
    List<Key> keys = new ArrayList<>();
    Set<Integer> ids = new HashSet<>();
    for (Section k : s.sections("keys")) {
      Key key = key(k);
      if (!ids.add(key.id())) {
        k.addError("id", "give each key its own number");
      }
      keys.add(key);
    }
    if (keys.isEmpty()) {
      s.addError("keys", "add at least one, as {\"id\": 1, \"secret\": \"32 or more hex digits\"}");
    }
    int rate = (int) s.integer("bytes_per_second", 5_000, 1_000, 1_000_000);
    s.rejectUnknownKeys();
    return new LinkSettings(address, keys, rate);
  }

  private static Key key(Section s) {
    int id = (int) s.integer("id", 1, 1, Integer.MAX_VALUE);
    String hex = s.string("secret", "0".repeat(MIN_SECRET_HEX_DIGITS));
    s.rejectUnknownKeys();
    try {
      byte[] secret = HexFormat.of().parseHex(hex);
      if (hex.length() >= MIN_SECRET_HEX_DIGITS) {
        return new Key(id, secret);
      }
    } catch (IllegalArgumentException e) {
      // Reported below, as for a secret that is too short.
    }
    s.addSecretError("secret", "write an even number of hex digits, at least " + MIN_SECRET_HEX_DIGITS);
    return new Key(id, new byte[MIN_SECRET_HEX_DIGITS / 2]);
  }
}
