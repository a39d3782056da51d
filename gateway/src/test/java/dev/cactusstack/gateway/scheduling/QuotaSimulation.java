package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.HeartbeatState;
import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.gossip.StoreContact;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.CallerLimits;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.Workspace;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;
import java.util.function.LongFunction;

/**
 * Hosts that gossip and request permits of one workspace in virtual time, with the code of the
 * gateway and a network that delays, doubles and loses datagrams.
 */
final class QuotaSimulation {
  static final String WORKSPACE = "w";
  static final int MAX_ONE_WAY_MS = 6;

  final QuotaOwners.ShareRule rule;
  final List<Host> hosts = new ArrayList<>();
  final List<Long> ranAtMs = new ArrayList<>();
  final List<Long> refusedAtMs = new ArrayList<>();
  long maxWaitMs;
  long messages;
  double lostShare;
  double doubledShare;
  double unusedShare;
  boolean ownersFollowChanges = true;
  boolean asksOwner = true;
  boolean ranksByStore;
  IntFunction<StoreContact> storeContact = host -> StoreContact.CONFIRMED;
  BiPredicate<Integer, Integer> connected = (a, b) -> true;

  private final Random random;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final EventLog log = new EventLog(OutputStream.nullOutputStream());
  private final Map<Address, Host> byAddress = new HashMap<>();
  private Optional<SiteConfiguration> configuration = Optional.empty();
  private long lastKey;
  private double due;
  long nowMs = 1_000_000;

  QuotaSimulation(int count, long seed, QuotaOwners.ShareRule rule) {
    this.random = new Random(seed);
    this.rule = rule;
    channel.freezeTime();
    for (int i = 0; i < count; i++) {
      hosts.add(new Host(i));
    }
    hosts.forEach(host -> host.start(1));
  }

  /** Returns a configuration with one workspace. */
  static Optional<SiteConfiguration> configuration(double rate, double burst) {
    return configuration(
        Map.of(WORKSPACE, new Workspace(WORKSPACE, Set.of(), OptionalInt.empty(), rate, burst)));
  }

  static Optional<SiteConfiguration> configuration(Map<String, Workspace> workspaces) {
    return Optional.of(
        new SiteConfiguration(
            1,
            1,
            List.of(),
            Map.of(),
            CallerLimits.DEFAULT,
            Set.of(),
            CallerAccess.byApiKey(workspaces),
            Map.of()));
  }

  void setQuota(double rate, double burst) {
    enforce(configuration(rate, burst));
  }

  void setWorkspaces(Map<String, Workspace> workspaces) {
    enforce(configuration(workspaces));
  }

  private void enforce(Optional<SiteConfiguration> next) {
    configuration = next;
    if (ownersFollowChanges) {
      hosts.forEach(host -> host.follow(configuration));
    }
  }

  /** Lets time pass while callers send requests to random hosts that run. */
  void run(long ms, double requestsPerSecond) {
    for (long end = nowMs + ms; nowMs < end; nowMs++) {
      channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      hosts.forEach(Host::pass);
      due += requestsPerSecond / 1_000 * -Math.log(1 - random.nextDouble());
      for (; due >= 1; due--) {
        Host host = hosts.get(random.nextInt(hosts.size()));
        if (host.running) {
          host.request();
        }
      }
    }
  }

  Host owner() {
    return hosts.stream().filter(h -> h.running && h.owners.isOwner(WORKSPACE)).findFirst().get();
  }

  /** Returns how many requests ran from one time to another. */
  long ranBetween(long fromMs, long toMs) {
    return ranAtMs.stream().filter(at -> at > fromMs && at <= toMs).count();
  }

  /** Returns how many more requests ran in the worst window of 5 s than the quota allows. */
  double worstExcess(double rate, double burst, long fromMs) {
    double bound = (rate * 5 + burst) * 1.1 + 20;
    return ranAtMs.stream()
        .filter(at -> at >= fromMs + 5_000)
        .mapToDouble(at -> ranBetween(at - 5_000, at) - bound)
        .max()
        .orElse(-bound);
  }

  final class Host {
    final int index;
    private final Address address;
    private final int gossipOffsetMs = random.nextInt(400);
    private Optional<SiteConfiguration> own = Optional.empty();
    private PeerTable peers;
    QuotaOwners owners;
    QuotaClient client;
    private boolean running;

    Host(int index) {
      this.index = index;
      this.address = new Address("10.0.0.1", 1_000 + index);
      byAddress.put(address, this);
    }

    private HostRegistration registration(long incarnation) {
      return new HostRegistration("h" + index, "dc", address, address, 1_000, incarnation);
    }

    void start(long incarnation) {
      peers = new PeerTable("h" + index, 3_500, new Random(random.nextLong()));
      int hash = PeerTable.hash("h" + index);
      owners =
          new QuotaOwners(() -> nowMs, log, peers, hash, () -> true, () -> own, candidates(), rule);
      client =
          new QuotaClient(
              channel.eventLoop(),
              () -> nowMs,
              log,
              this::send,
              hash,
              owners,
              () -> new PlacementKey(index, ++lastKey));
      running = true;
      owners.onConfigurationChanged();
      for (Host other : hosts) {
        peers.recordStart(other.registration(incarnation), nowMs);
      }
    }

    private LongFunction<List<HostRegistration>> candidates() {
      PeerTable table = peers;
      return at -> ranksByStore ? table.eligibleSchedulers(at) : table.usableHosts(at);
    }

    void stop() {
      running = false;
    }

    void follow(Optional<SiteConfiguration> changed) {
      own = changed;
      owners.onConfigurationChanged();
    }

    private void pass() {
      if (!running) {
        return;
      }
      if ((nowMs + gossipOffsetMs) % 400 == 0) {
        List<HeartbeatState> states = peers.startRound(storeContact.apply(index), true, nowMs);
        for (HostRegistration target : peers.gossipTargets(3, nowMs)) {
          Host to = byAddress.get(target.linkAddress());
          deliver(to, () -> to.peers.mergeHeartbeats(states, nowMs));
        }
      }
      if ((nowMs + gossipOffsetMs) % 1_000 == 0) {
        owners.tick();
      }
    }

    QuotaClient.Permit request() {
      long askedAtMs = nowMs;
      QuotaClient.Permit[] permit = new QuotaClient.Permit[1];
      permit[0] =
          client.permit(
              WORKSPACE,
              decision -> {
                maxWaitMs = Math.max(maxWaitMs, nowMs - askedAtMs);
                if (!decision.isGranted()) {
                  refusedAtMs.add(nowMs);
                } else if (random.nextDouble() < unusedShare) {
                  permit[0].giveBack();
                  permit[0].giveBack();
                } else {
                  ranAtMs.add(nowMs);
                }
              });
      if (asksOwner) {
        permit[0].request();
      } else if (owners.decide(WORKSPACE, new PlacementKey(index, ++lastKey)).isGranted()) {
        ranAtMs.add(nowMs);
      }
      return permit[0];
    }

    private void send(LinkMessage message, Address destination) {
      messages++;
      Host to = byAddress.get(destination);
      for (int copies = random.nextDouble() < doubledShare ? 2 : 1; copies > 0; copies--) {
        deliver(to, () -> to.client.onMessage(message, address));
      }
    }

    private void deliver(Host to, Runnable action) {
      if (random.nextDouble() < lostShare) {
        return;
      }
      channel
          .eventLoop()
          .schedule(
              () -> {
                if (to.running && connected.test(index, to.index)) {
                  action.run();
                }
              },
              1 + random.nextInt(MAX_ONE_WAY_MS),
              TimeUnit.MILLISECONDS);
    }
  }
}
