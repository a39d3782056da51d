package dev.cactusstack.host.control;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.membership.MemberInfo;
import dev.cactusstack.decisions.membership.MemberStatus;
import dev.cactusstack.decisions.membership.Membership;
import dev.cactusstack.decisions.membership.OutgoingMessage;
import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.decisions.membership.ProbeTimings;
import dev.cactusstack.decisions.membership.ServiceRate;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.link.LinkBody;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.HostId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the members of the group. Confined to the control loop, except {@link #members} and
 * {@link #isListed}.
 */
public final class MembershipController {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MAX_ANNOUNCED_RATES = 16;
  private static final double MIN_RELATIVE_RATE_CHANGE = 0.25;
  private static final double NOISE_STANDARD_DEVIATIONS = 3;

  private final Membership membership;
  private final LinkSender sender;
  private final Ticker ticker;
  private final List<Consumer<SortedMap<HostId, Member>>> listeners = new ArrayList<>();
  private volatile SortedMap<HostId, Member> published;
  private volatile Set<Address> listedLinks = Set.of();

  /**
   * Creates a controller whose only member is its own host.
   *
   * @param self this host as a member
   * @param sender sends messages to other hosts
   * @param ticker the clock
   * @param random determines the order of probes
   */
  public MembershipController(Member self, LinkSender sender, Ticker ticker, Random random) {
    this.membership = new Membership(self, ProbeTimings.DEFAULT, random);
    this.sender = Objects.requireNonNull(sender, "sender is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.published = membership.members();
  }

  /**
   * Returns the members, dead ones included. Thread-safe.
   *
   * @return the last published snapshot
   */
  public SortedMap<HostId, Member> members() {
    return published;
  }

  /**
   * Returns whether the platform lists a host, although it may be considered dead. Thread-safe.
   *
   * @param link the host's link address
   * @return true if the last host list that was read contains it
   */
  public boolean isListed(Address link) {
    return listedLinks.contains(link);
  }

  Member self() {
    return membership.self();
  }

  double roundTripMs(HostId id) {
    return membership.roundTripMs(id);
  }

  void addListener(Consumer<SortedMap<HostId, Member>> listener) {
    listeners.add(listener);
  }

  void tick() {
    membership.tick(ticker.millis()).forEach(this::send);
    publish();
  }

  void receive(Address from, ProbeMessage probe, LinkMessage m) {
    membership.receive(from, probe, m.sender(), m.updates(), ticker.millis()).forEach(this::send);
    publish();
  }

  void updateListedHosts(Collection<Address> links) {
    listedLinks = Set.copyOf(links);
    membership.updateHostList(links);
  }

  void announceVersion(long version) {
    announce(self().info().withConfigVersion(version));
  }

  void announceLeaving() {
    announce(self().info().withLeaving());
  }

  /**
   * Announces the arrival rates when one has changed by more than a quarter and more than the
   * noise.
   */
  void announceRates(List<ServiceRate> rates) {
    List<ServiceRate> highestRates =
        rates.stream()
            .sorted((a, b) -> Float.compare(b.perSecond(), a.perSecond()))
            .limit(MAX_ANNOUNCED_RATES)
            .toList();
    if (haveRatesChanged(self().info().rates(), highestRates)) {
      announce(self().info().withRates(highestRates));
    }
  }

  private static boolean haveRatesChanged(List<ServiceRate> before, List<ServiceRate> now) {
    var previous = new TreeMap<String, Float>();
    before.forEach(r -> previous.put(r.service().value(), r.perSecond()));
    return previous.size() != now.size()
        || now.stream()
            .anyMatch(r -> hasRateChanged(previous.get(r.service().value()), r.perSecond()));
  }

  /**
   * A change is significant when it exceeds a quarter of the earlier rate and the noise of random
   * arrivals.
   */
  private static boolean hasRateChanged(@Nullable Float before, float now) {
    if (before == null) {
      return now > 0;
    }
    double noise = NOISE_STANDARD_DEVIATIONS * Math.sqrt(Math.max(1, before));
    return Math.abs(now - before) > Math.max(noise, MIN_RELATIVE_RATE_CHANGE * before);
  }

  private void announce(MemberInfo info) {
    membership.updateSelf(info);
    publish();
  }

  private void send(OutgoingMessage o) {
    sender.send(
        o.receiver(),
        new LinkMessage(o.sender(), o.updates(), new LinkBody.FailureDetection(o.probe())));
  }

  private void publish() {
    SortedMap<HostId, Member> now = membership.members();
    if (now.equals(published)) {
      return;
    }
    logChanges(published, now);
    published = now;
    listeners.forEach(l -> l.accept(now));
  }

  private static void logChanges(SortedMap<HostId, Member> before, SortedMap<HostId, Member> now) {
    now.forEach(
        (id, m) -> {
          Member previous = before.get(id);
          MemberStatus previousStatus = previous == null ? null : previous.status();
          boolean leaves = m.info().leaving() && (previous == null || !previous.info().leaving());
          if (previousStatus != m.status() || leaves) {
            LOG.atInfo().log(
                "%s",
                Event.named("member_changed")
                    .with("host", id)
                    .with("status", m.status().label())
                    .with("leaving", m.info().leaving())
                    .with("incarnation", m.incarnation()));
          }
        });
  }
}
