package dev.cactusstack.host.callers;

import dev.cactusstack.link.KeyRing;
import dev.cactusstack.model.HostId;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Proves that a request was passed on by another entry host, so that callers cannot pretend it.
 *
 * <p>Form: {@code HOST MINUTE KEY TAG}. A token is valid for the minute that it names and the ones
 * next to it. Thread-safe.
 */
public final class ForwardToken {
  private static final long MINUTE_MS = 60_000;
  private static final int MAX_CACHED_TOKENS = 1_024;

  private final HostId self;
  private final KeyRing keys;
  private final InstantSource clock;
  private final Map<String, Long> verified = new ConcurrentHashMap<>();
  private volatile Issued issued = new Issued(-1, "");

  private record Issued(long minute, String token) {}

  /**
   * Creates a signer and verifier.
   *
   * @param self this host
   * @param keys the keys shared by all entry hosts
   * @param clock wall time
   */
  public ForwardToken(HostId self, KeyRing keys, InstantSource clock) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.keys = Objects.requireNonNull(keys, "keys is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  String issue() {
    long minute = clock.millis() / MINUTE_MS;
    Issued last = issued;
    if (last.minute != minute) {
      String text = self + " " + minute;
      String tag = HexFormat.of().formatHex(keys.sign(bytes(text)));
      last = new Issued(minute, text + " " + keys.signingKeyId() + " " + tag);
      issued = last;
    }
    return last.token;
  }

  boolean verify(String token) {
    long now = clock.millis() / MINUTE_MS;
    Long minute = verified.get(token);
    if (minute == null) {
      if (!isSigned(token)) {
        return false;
      }
      minute = Long.parseLong(token.split(" ")[1]);
      if (verified.size() >= MAX_CACHED_TOKENS) {
        verified.clear();
      }
      verified.put(token, minute);
    }
    return Math.abs(now - minute) <= 1;
  }

  private boolean isSigned(String token) {
    String[] parts = token.split(" ");
    if (parts.length != 4) {
      return false;
    }
    try {
      Long.parseLong(parts[1]);
      byte[] tag = HexFormat.of().parseHex(parts[3]);
      return keys.verify(Integer.parseInt(parts[2]), bytes(parts[0] + " " + parts[1]), tag);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static byte[] bytes(String s) {
    return ("forward " + s).getBytes(StandardCharsets.UTF_8);
  }
}
