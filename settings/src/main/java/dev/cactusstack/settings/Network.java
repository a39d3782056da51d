package dev.cactusstack.settings;

import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.Result;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IPv4 network whose callers are nearest to one data centre. Immutable and thread-safe.
 *
 * @param networkAddress the network's address as a 32-bit number
 * @param prefixLength the length of its prefix, 0 to 32
 * @param dataCentre the nearest data centre
 */
public record Network(int networkAddress, int prefixLength, DataCentre dataCentre) {
  private static final int ADDRESS_BITS = 32;
  private static final Pattern CIDR_PATTERN =
      Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})/([0-9]{1,2})");

  /** Checks the components. */
  public Network {
    Objects.requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Parses {@code A.B.C.D/BITS}.
   *
   * @param text the text
   * @param dataCentre the nearest data centre
   * @return the network, or an invalid-input problem
   */
  public static Result<Network> parse(String text, DataCentre dataCentre) {
    Objects.requireNonNull(text, "text is null");
    Matcher m = CIDR_PATTERN.matcher(text);
    if (!m.matches() || Integer.parseInt(m.group(5)) > ADDRESS_BITS) {
      return Result.failure(
          Problem.invalid("'" + text + "' is not a network", "write it as \"10.1.0.0/16\""));
    }
    int base = 0;
    for (int i = 1; i <= 4; i++) {
      base = (base << 8) | (Integer.parseInt(m.group(i)) & 0xff);
    }
    return Result.success(new Network(base, Integer.parseInt(m.group(5)), dataCentre));
  }

  /**
   * Tells whether an address belongs to the network.
   *
   * @param address an IPv4 address, in network byte order
   * @return true when its prefix matches
   */
  public boolean contains(byte[] address) {
    if (address.length != 4) {
      return false;
    }
    int a = 0;
    for (byte b : address) {
      a = (a << 8) | (b & 0xff);
    }
    int mask = prefixLength == 0 ? 0 : -1 << (ADDRESS_BITS - prefixLength);
    return (a & mask) == (networkAddress & mask);
  }
}
