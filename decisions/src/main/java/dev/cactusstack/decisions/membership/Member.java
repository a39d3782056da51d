package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.HostId;
import java.util.Objects;

/**
 * A claim about a member. Immutable and thread-safe.
 *
 * @param id the member
 * @param incarnation chosen by the member; a restart or a refutation raises it
 * @param status what is believed of it
 * @param info what it says of itself
 */
public record Member(HostId id, long incarnation, MemberStatus status, MemberInfo info) {

  /** Checks the components. */
  public Member {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(status, "status is null");
    Objects.requireNonNull(info, "info is null");
  }

  /**
   * Joins two claims about the same member. The join is commutative, associative and idempotent, so
   * the order and repetition of messages do not matter.
   *
   * @param o the other claim
   * @return what both together say
   */
  public Member merge(Member o) {
    Objects.requireNonNull(o, "o is null");
    if (incarnation != o.incarnation) {
      return incarnation > o.incarnation ? this : o;
    }
    MemberInfo newer = info.sequence() >= o.info.sequence() ? info : o.info;
    MemberStatus worse = status.compareTo(o.status) >= 0 ? status : o.status;
    return new Member(id, incarnation, worse, newer);
  }

  /**
   * Replaces the status.
   *
   * @param next the status
   * @return the changed claim
   */
  public Member with(MemberStatus next) {
    return new Member(id, incarnation, next, info);
  }

  /**
   * Replaces the statement.
   *
   * @param next the statement
   * @return the changed claim
   */
  public Member with(MemberInfo next) {
    return new Member(id, incarnation, status, next);
  }

  /**
   * Tells whether the member takes part in serving.
   *
   * @return true when it is not dead and not leaving
   */
  public boolean isServing() {
    return status != MemberStatus.DEAD && !info.leaving();
  }
}
