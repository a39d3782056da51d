package dev.cactusstack.link;

import java.util.Arrays;
import java.util.Objects;

/**
 * A secret shared by all entry hosts.
 *
 * <p>Invariant: the secret has at least 16 bytes. Immutable and thread-safe; {@code toString} does
 * not show the secret.
 */
public final class LinkKey {
  private static final int MIN_SECRET_BYTES = 16;

  private final int id;
  private final byte[] secret;

  /**
   * Creates a key.
   *
   * @param id the key id carried in datagrams
   * @param secret the secret
   */
  public LinkKey(int id, byte[] secret) {
    Objects.requireNonNull(secret, "secret is null");
    if (secret.length < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException("a link key needs at least 16 bytes");
    }
    this.id = id;
    this.secret = secret.clone();
  }

  /**
   * Returns the key id.
   *
   * @return the key id
   */
  public int id() {
    return id;
  }

  byte[] secret() {
    return secret;
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof LinkKey k && k.id == id && Arrays.equals(k.secret, secret);
  }

  @Override
  public int hashCode() {
    return id;
  }

  @Override
  public String toString() {
    return "LinkKey(" + id + ")";
  }
}
