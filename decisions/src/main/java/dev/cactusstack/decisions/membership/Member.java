package dev.cactusstack.decisions.membership;

import dev.cactusstack.model.HostId;
import java.util.Objects;

/**
 * A claim about a member. Immutable and thread-safe.
 *
 * @param id the member
 * @param incarnation chosen by the member; raised by a restart or a refutation
 * @param status the claimed status
 * @param info what the member announces about itself
 */
public record Member(HostId id, long incarnation, MemberStatus status, MemberInfo info) {

  /** Checks the components. */
  public Member {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(status, "status is null");
    Objects.requireNonNull(info, "info is null");
  }

  /**
   * Merges two claims about the same member. The merge is commutative, associative and idempotent,
   * so the order and repetition of messages do not matter.
   *
   * @param other the other claim
   * @return the merged claim
   */
  public Member merge(Member other) {
    Objects.requireNonNull(other, "other is null");
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation ? this : other;
    }
    MemberInfo newer = info.sequence() >= other.info.sequence() ? info : other.info;
    MemberStatus worse = status.compareTo(other.status) >= 0 ? status : other.status;
    return new Member(id, incarnation, worse, newer);
  }

  /**
   * Returns a copy with another status.
   *
   * @param next the status
   * @return the changed claim
   */
  public Member with(MemberStatus next) {
    return new Member(id, incarnation, next, info);
  }

  /**
   * Returns a copy with other information.
   *
   * @param next the information
   * @return the changed claim
   */
  public Member with(MemberInfo next) {
    return new Member(id, incarnation, status, next);
  }

  /**
   * Checks whether the member serves requests.
   *
   * @return true if it is neither dead nor leaving
   */
  public boolean isServing() {
    return status != MemberStatus.DEAD && !info.leaving();
  }
}
