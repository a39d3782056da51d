package dev.cactusstack.link;

import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that a host accepts; the first one signs. Keys are rotated by adding the new key last on
 * every host, then moving it first, then removing the old one.
 *
 * <p>Immutable and thread-safe.
 */
public final class KeyRing {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int TAG_BYTES = 16;

  private final List<LinkKey> keys;

  /**
   * Creates a key ring.
   *
   * @param keys the keys, at least one; the first signs
   */
  public KeyRing(List<LinkKey> keys) {
    this.keys = List.copyOf(keys);
    if (this.keys.isEmpty()) {
      throw new IllegalArgumentException("a key ring has at least one key");
    }
  }

  /**
   * Returns the number of the key that signs.
   *
   * @return the number
   */
  public int signingKeyId() {
    return keys.get(0).id();
  }

  /**
   * Computes the tag of a message with the signing key.
   *
   * @param message the message
   * @return 16 bytes
   */
  public byte[] sign(byte[] message) {
    Objects.requireNonNull(message, "message is null");
    return tag(keys.get(0), message);
  }

  /**
   * Checks a tag.
   *
   * @param keyId the number of the key that made it
   * @param message the message
   * @param tag the tag
   * @return true when the key is known and made the tag
   */
  public boolean verify(int keyId, byte[] message, byte[] tag) {
    Optional<LinkKey> key = keys.stream().filter(k -> k.id() == keyId).findFirst();
    return key.isPresent() && MessageDigest.isEqual(tag(key.get(), message), tag);
  }

  private static byte[] tag(LinkKey key, byte[] message) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return Arrays.copyOf(mac.doFinal(message), TAG_BYTES);
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, e);
    }
  }
}
