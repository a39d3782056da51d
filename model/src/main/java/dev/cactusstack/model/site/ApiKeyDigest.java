package dev.cactusstack.model.site;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of the SHA-256 digest of an API key. Hosts keep and exchange digests only, so
 * that no log, message or memory dump contains a key. Immutable and thread-safe.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record ApiKeyDigest(long high, long low) {
  /**
   * Computes the digest of a key.
   *
   * @param key the key as callers send it
   * @return its digest
   */
  public static ApiKeyDigest of(String key) {
    try {
      ByteBuffer digest =
          ByteBuffer.wrap(
              MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
      return new ApiKeyDigest(digest.getLong(), digest.getLong());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
