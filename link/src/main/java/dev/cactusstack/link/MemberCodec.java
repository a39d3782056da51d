package dev.cactusstack.link;

import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.link.generated.MemberState;
import dev.cactusstack.link.generated.Rate;
import dev.cactusstack.link.generated.Status;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.DataCentre;
import dev.cactusstack.model.HostId;
import dev.cactusstack.model.ServiceName;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes member states. Stateless and thread-safe. */
final class MemberCodec {
  private MemberCodec() {}

  static MemberState encode(Member m) {
    MemberInfo i = m.info();
    MemberState.Builder b =
        MemberState.newBuilder()
            .setId(m.id().value())
            .setIncarnation(m.incarnation())
            .setStatus(status(m.status()))
            .setSequence(i.sequence())
            .setDataCentre(i.dataCentre().value())
            .setLink(i.link().toString())
            .setCallers(i.callers().toString())
            .setOperators(i.operators().toString())
            .setConfigVersion(i.configVersion())
            .setLeaving(i.leaving());
    i.rates()
        .forEach(
            r ->
                b.addRates(
                    Rate.newBuilder().setService(r.service().value()).setPerSecond(r.perSecond())));
    return b.build();
  }

  private static Status status(MemberStatus s) {
    return switch (s) {
      case ALIVE -> Status.ALIVE;
      case SUSPECT -> Status.SUSPECT;
      case DEAD -> Status.DEAD;
    };
  }

  static Optional<Member> decode(MemberState s) {
    Optional<HostId> id = HostId.parse(s.getId()).toOptional();
    Optional<DataCentre> dataCentre = DataCentre.parse(s.getDataCentre()).toOptional();
    Optional<Address> link = Address.parse(s.getLink()).toOptional();
    Optional<Address> callers = Address.parse(s.getCallers()).toOptional();
    Optional<Address> operators = Address.parse(s.getOperators()).toOptional();
    Optional<MemberStatus> status = status(s.getStatus());
    if (id.isEmpty()
        || dataCentre.isEmpty()
        || link.isEmpty()
        || callers.isEmpty()
        || operators.isEmpty()
        || status.isEmpty()) {
      return Optional.empty();
    }
    var info =
        new MemberInfo(
            s.getSequence(),
            dataCentre.get(),
            link.get(),
            callers.get(),
            operators.get(),
            s.getConfigVersion(),
            s.getLeaving(),
            rates(s.getRatesList()));
    return Optional.of(new Member(id.get(), s.getIncarnation(), status.get(), info));
  }

  private static Optional<MemberStatus> status(Status s) {
    return switch (s) {
      case ALIVE -> Optional.of(MemberStatus.ALIVE);
      case SUSPECT -> Optional.of(MemberStatus.SUSPECT);
      case DEAD -> Optional.of(MemberStatus.DEAD);
      case UNRECOGNIZED -> Optional.empty();
    };
  }

  private static List<ServiceRate> rates(List<Rate> rates) {
    return rates.stream()
        .filter(r -> Float.isFinite(r.getPerSecond()) && r.getPerSecond() >= 0)
        .flatMap(
            r ->
                ServiceName.parse(r.getService()).toOptional().stream()
                    .map(s -> new ServiceRate(s, r.getPerSecond())))
        .toList();
  }
}
