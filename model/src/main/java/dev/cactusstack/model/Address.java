package dev.cactusstack.model;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A network address: an IP literal and a port.
 *
 * <p>Invariant: the port is between 1 and 65535. Immutable and thread-safe.
 *
 * @param ip an IPv4 literal, or an IPv6 literal without brackets
 * @param port the port number
 */
public record Address(String ip, int port) implements Comparable<Address> {
  private static final int MAX_PORT = 65_535;
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("(?:\\[([0-9a-fA-F:.]+)]|([0-9]{1,3}(?:\\.[0-9]{1,3}){3})):([0-9]{1,5})");

  /** Checks the components. */
  public Address {
    Objects.requireNonNull(ip, "ip is null");
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port out of range: " + port);
    }
  }

  /**
   * Parses {@code IP:PORT}. An IPv6 literal is enclosed in brackets.
   *
   * @param text the text
   * @return the address, or an invalid-input problem
   */
  public static Result<Address> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    Matcher match = ADDRESS_PATTERN.matcher(text);
    if (!match.matches() || !isValidPort(match.group(3))) {
      return Result.failure(
          Problem.invalid(
              "'" + text + "' is not an address",
              "use the form IP:PORT, for example 10.0.0.7:8080"));
    }
    String ip = match.group(1) == null ? match.group(2) : match.group(1);
    return Result.success(new Address(ip, Integer.parseInt(match.group(3))));
  }

  private static boolean isValidPort(String digits) {
    int n = Integer.parseInt(digits);
    return n >= 1 && n <= MAX_PORT;
  }

  /**
   * Checks whether this is a loopback address.
   *
   * @return true for an address in 127.0.0.0/8 and for ::1
   */
  public boolean isLoopback() {
    return ip.startsWith("127.") || ip.equals("::1");
  }

  @Override
  public int compareTo(Address other) {
    int byIp = ip.compareTo(other.ip);
    return byIp != 0 ? byIp : Integer.compare(port, other.port);
  }

  @Override
  public String toString() {
    return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
  }
}
