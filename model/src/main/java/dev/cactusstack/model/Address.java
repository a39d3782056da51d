package dev.cactusstack.model;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TCP endpoint given by an IP literal and a port.
 *
 * <p>Invariant: the port is between 1 and 65535. Immutable and thread-safe.
 *
 * @param ip an IPv4 literal, or an IPv6 literal without brackets
 * @param port the port number
 */
public record Address(String ip, int port) implements Comparable<Address> {
  private static final int MAX_PORT = 65_535;
  private static final Pattern FORM =
      Pattern.compile("(?:\\[([0-9a-fA-F:.]+)]|([0-9]{1,3}(?:\\.[0-9]{1,3}){3})):([0-9]{1,5})");

  /** Checks the components. */
  public Address {
    Objects.requireNonNull(ip, "ip is null");
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("not a port: " + port);
    }
  }

  /**
   * Parses {@code IP:PORT}; an IPv6 literal stands in brackets.
   *
   * @param text the text
   * @return the address, or an invalid-input problem
   */
  public static Result<Address> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    Matcher m = FORM.matcher(text);
    if (!m.matches() || !isPort(m.group(3))) {
      return Result.failure(
          Problem.invalid("'" + text + "' is not an address", "write IP:PORT, as 10.0.0.7:8080"));
    }
    String ip = m.group(1) == null ? m.group(2) : m.group(1);
    return Result.success(new Address(ip, Integer.parseInt(m.group(3))));
  }

  private static boolean isPort(String digits) {
    int n = Integer.parseInt(digits);
    return n >= 1 && n <= MAX_PORT;
  }

  /**
   * Tells whether the address belongs to the loopback interface.
   *
   * @return true for 127.0.0.0/8 and ::1
   */
  public boolean isLoopback() {
    return ip.startsWith("127.") || ip.equals("::1");
  }

  @Override
  public int compareTo(Address o) {
    int c = ip.compareTo(o.ip);
    return c != 0 ? c : Integer.compare(port, o.port);
  }

  @Override
  public String toString() {
    return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
  }
}
