package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.Address;
import dev.cactusstack.model.DataCentre;
import java.util.List;
import java.util.Objects;

/**
 * The information that a member announces about itself. Only the member itself raises {@code
 * sequence}, with each change.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sequence orders the member's announcements within one incarnation
 * @param dataCentre the data centre of the member
 * @param link its address for other hosts, over UDP
 * @param callers its address for callers
 * @param operators its address for operators
 * @param configVersion the table version in force on the member
 * @param leaving whether it is shutting down
 * @param rates its busiest services
 */
public record MemberInfo(
    long sequence,
    DataCentre dataCentre,
    Address link,
    Address callers,
    Address operators,
    long configVersion,
    boolean leaving,
    List<ServiceRate> rates) {

  /** Checks the components and copies the rates. */
  public MemberInfo {
    Objects.requireNonNull(dataCentre, "dataCentre is null");
    Objects.requireNonNull(link, "link is null");
    Objects.requireNonNull(callers, "callers is null");
    Objects.requireNonNull(operators, "operators is null");
    rates = List.copyOf(rates);
  }

  /**
   * Returns the next announcement with another version in force.
   *
   * @param version the table version
   * @return the next statement
   */
  public MemberInfo withConfigVersion(long version) {
    return new MemberInfo(
        sequence + 1, dataCentre, link, callers, operators, version, leaving, rates);
  }

  /**
   * Returns the next announcement, which reports the shutdown.
   *
   * @return the next statement
   */
  public MemberInfo withLeaving() {
    return new MemberInfo(
        sequence + 1, dataCentre, link, callers, operators, configVersion, true, rates);
  }

  /**
   * Returns the next announcement with other arrival rates.
   *
   * @param next the rates
   * @return the next statement
   */
  public MemberInfo withRates(List<ServiceRate> next) {
    return new MemberInfo(
        sequence + 1, dataCentre, link, callers, operators, configVersion, leaving, next);
  }
}
