package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.quotas.QuotaBucket;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.decisions.quotas.QuotaShare;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.SiteConfiguration;
import dev.cactusstack.model.site.Workspace;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * This host as the owner of quotas: grants permits for its share of the quota of each workspace.
 *
 * <p>Invariants: it keeps state only for workspaces with a quota in its own configuration, and only
 * while it has a share of it. The state of a quota that is removed is kept until all that was used
 * has accrued again, for {@value ConfiguredQuotas#RETENTION_MS} ms at most, so that a quota that is
 * put back is not granted again. It never grants more than its share, whoever asks. Confined to the
 * event loop.
 */
public final class QuotaOwners {
  /** Time after which a caller tries again that meets no host with a share, in milliseconds. */
  static final long RETRY_WITHOUT_SHARE_MS = 1_000;

  /** Many hosts may have smaller shares as the first at once; their buckets start empty. */
  private static final double MIN_SHARE_WITH_A_PERMIT = 0.5;

  private static final String KEY_PREFIX = "quota/";

  /** Computes a share; see {@link QuotaShare#of}. */
  interface ShareRule {
    double share(int rank, long firstForMs, int usableHosts, int knownHosts, long longestRunningMs);
  }

  private final LongSupplier clock;
  private final EventLog log;
  private final Supplier<Optional<SiteConfiguration>> configuration;
  private final LongFunction<List<HostRegistration>> candidates;
  private final ShareRule shareRule;
  private final SchedulerStandings standings;
  private final Map<String, QuotaBucket> buckets = new HashMap<>();
  private final ConfiguredQuotas configuredQuotas = new ConfiguredQuotas();

  /** Workspaces that have got the permits of a restart of all hosts, which are granted once. */
  private final Set<String> restarted = new HashSet<>();

  private long granted;
  private long refused;
  private long returned;

  /**
   * Creates an instance that has granted nothing.
   *
   * @param clock a monotonic clock, in milliseconds
   * @param log logs changes of shares
   * @param peers tracks which hosts are alive
   * @param selfHash hash of this host's name
   * @param knowsHosts whether this host is registered and has read the other hosts from the store
   * @param configuration supplies the configuration in force
   */
  public QuotaOwners(
      LongSupplier clock,
      EventLog log,
      PeerTable peers,
      int selfHash,
      BooleanSupplier knowsHosts,
      Supplier<Optional<SiteConfiguration>> configuration) {
    this(
        clock, log, peers, selfHash, knowsHosts, configuration, peers::usableHosts, QuotaShare::of);
  }

  QuotaOwners(
      LongSupplier clock,
      EventLog log,
      PeerTable peers,
      int selfHash,
      BooleanSupplier knowsHosts,
      Supplier<Optional<SiteConfiguration>> configuration,
      LongFunction<List<HostRegistration>> candidates,
      ShareRule shareRule) {
    this.clock = clock;
    this.log = log;
    this.configuration = configuration;
    this.shareRule = shareRule;
    this.candidates = candidates;
    this.standings = new SchedulerStandings(peers, candidates, selfHash, knowsHosts);
  }

  /** Returns the key under which the owners of a workspace's quota are ranked. */
  static String rankingKey(String workspace) {
    return KEY_PREFIX + workspace;
  }

  /**
   * Returns the hosts among which owners are ranked. These are all usable hosts: an owner needs no
   * store, and each move of a quota to another host refuses requests under the quota.
   */
  List<HostRegistration> candidates(long nowMs) {
    return candidates.apply(nowMs);
  }

  /**
   * Decides on a request for a permit of this or another host.
   *
   * @return undecided if this host has no share of the quota or does not know the workspace
   */
  QuotaDecision decide(String workspace, PlacementKey key) {
    Workspace known = find(workspace);
    if (known == null) {
      return QuotaDecision.UNDECIDED;
    }
    if (!known.hasQuota()) {
      return QuotaDecision.GRANTED;
    }
    long now = clock.getAsLong();
    QuotaBucket bucket = currentBucket(known, now);
    if (bucket == null) {
      return QuotaDecision.UNDECIDED;
    }
    boolean repeated = bucket.remembers(key);
    QuotaDecision decision = bucket.request(key, now);
    if (repeated) {
      return decision;
    }
    if (decision.isGranted()) {
      granted++;
    } else {
      refused++;
    }
    return decision;
  }

  /** Returns a permit whose request did not run; the return may overtake the request. */
  void giveBack(String workspace, PlacementKey key) {
    Workspace known = find(workspace);
    long now = clock.getAsLong();
    QuotaBucket bucket = known == null || !known.hasQuota() ? null : currentBucket(known, now);
    if (bucket != null && bucket.giveBack(key, now)) {
      returned++;
    }
  }

  /** Checks whether this host is the first in its ranking of a workspace's quota owners. */
  boolean isOwner(String workspace) {
    return standings.look(rankingKey(workspace), clock.getAsLong()).isFirst();
  }

  private @Nullable Workspace find(String workspace) {
    return configuration.get().map(c -> c.workspaces().get(workspace)).orElse(null);
  }

  /** Returns the bucket with the share that this host has now; null if it has none. */
  private @Nullable QuotaBucket currentBucket(Workspace workspace, long nowMs) {
    SchedulerStandings.Standing standing = standings.look(rankingKey(workspace.name()), nowMs);
    double share =
        shareRule.share(
            standing.rank(),
            standing.leadingForMs(),
            standing.usableHosts(),
            standing.knownHosts(),
            standing.longestRunningMs());
    QuotaBucket bucket = buckets.get(workspace.name());
    double before = bucket == null ? 0 : bucket.share();
    if (share != before) {
      log.event("quota_share")
          .with("workspace", workspace.name())
          .with("share", Double.toString(share))
          .with("before", Double.toString(before))
          .with("rank", standing.rank())
          .with("usable", standing.usableHosts())
          .with("known", standing.knownHosts())
          .write();
    }
    if (share == 0) {
      buckets.remove(workspace.name());
      return null;
    }
    if (bucket == null) {
      bucket = createBucket(workspace, share, standing, nowMs);
      buckets.put(workspace.name(), bucket);
    }
    updateBucket(bucket, workspace, share, nowMs);
    return bucket;
  }

  private void updateBucket(QuotaBucket bucket, Workspace workspace, double share, long nowMs) {
    double rate = workspace.requestsPerSecond();
    boolean changed = !bucket.isSetTo(rate, workspace.burst());
    double before = bucket.available(nowMs);
    bucket.update(rate, workspace.burst(), share, nowMs);
    if (changed) {
      log.event("quota_changed")
          .with("workspace", workspace.name())
          .with("rate", Double.toString(rate))
          .with("burst", Double.toString(workspace.burst()))
          .with("share", Double.toString(share))
          .with("permits_before", Math.round(before))
          .with("permits", Math.round(bucket.available(nowMs)))
          .write();
    }
  }

  private QuotaBucket createBucket(
      Workspace workspace, double share, SchedulerStandings.Standing standing, long nowMs) {
    double rate = workspace.requestsPerSecond();
    OptionalLong newSinceMs = configuredQuotas.newSinceMs(workspace.name());
    boolean knowsAllUse =
        standing.isFirst()
            && share == 1
            && newSinceMs.isPresent()
            && standing.leadingSinceMs() <= newSinceMs.getAsLong();
    if (knowsAllUse) {
      return QuotaBucket.full(rate, workspace.burst(), share, nowMs);
    }
    if (standing.isFirst() && standing.longestRunningMs() <= QuotaShare.SETTLING_MS) {
      return restarted.add(workspace.name())
          ? QuotaBucket.restarted(rate, workspace.burst(), share, standing.leadingSinceMs())
          : QuotaBucket.empty(rate, workspace.burst(), share, nowMs);
    }
    if (standing.isFirst()) {
      return share < MIN_SHARE_WITH_A_PERMIT
          ? QuotaBucket.empty(rate, workspace.burst(), share, standing.leadingSinceMs())
          : QuotaBucket.takenOver(rate, workspace.burst(), share, accruingSinceMs(standing, nowMs));
    }
    // After a restart of all hosts, many are for a moment the second of the few that they hear of.
    return standing.longestRunningMs() <= QuotaShare.SETTLING_MS
        ? QuotaBucket.empty(rate, workspace.burst(), share, nowMs)
        : QuotaBucket.takenOver(rate, workspace.burst(), share, standings.unchangedSinceMs(nowMs));
  }

  /** Counts the time in which the host had only half of its share for half. */
  private static long accruingSinceMs(SchedulerStandings.Standing standing, long nowMs) {
    long settlingMs = Math.min(QuotaShare.SETTLING_MS, nowMs - standing.leadingSinceMs());
    return standing.leadingSinceMs() + settlingMs / 2;
  }

  /** Handles a change of the configuration in force. */
  public void onConfigurationChanged() {
    SiteConfiguration current = configuration.get().orElse(null);
    if (current == null) {
      return;
    }
    long now = clock.getAsLong();
    configuredQuotas.update(current.workspaces(), now);
    if (isWithoutQuotas(current)) {
      return;
    }
    standings.observe(now);
    lookAtShares(current, now);
    standings.forgetIf(key -> !configuredQuotas.has(key.substring(KEY_PREFIX.length())));
  }

  private boolean isWithoutQuotas(SiteConfiguration current) {
    return current.workspaces().isEmpty() && buckets.isEmpty();
  }

  /**
   * Looks at this host's shares, so that it knows for how long it has been the first. Called every
   * second.
   */
  public void tick() {
    SiteConfiguration current = configuration.get().orElse(null);
    if (current == null || isWithoutQuotas(current)) {
      return;
    }
    long now = clock.getAsLong();
    standings.observe(now);
    configuredQuotas.forgetOld(now);
    lookAtShares(current, now);
  }

  private void lookAtShares(SiteConfiguration current, long nowMs) {
    buckets
        .entrySet()
        .removeIf(held -> !configuredQuotas.has(held.getKey()) && isForgettable(held, nowMs));
    for (String name : List.copyOf(buckets.keySet())) {
      Workspace known = current.workspaces().get(name);
      if (known == null || !known.hasQuota()) {
        continue;
      }
      QuotaBucket bucket = currentBucket(known, nowMs);
      if (bucket != null) {
        bucket.forgetOld(nowMs);
      }
    }
  }

  /** Checks whether the bucket of a removed quota can go: a new one would grant no more. */
  private boolean isForgettable(Map.Entry<String, QuotaBucket> held, long nowMs) {
    return !held.getValue().isUsed(nowMs) || !configuredQuotas.isRemembered(held.getKey());
  }

  /** Returns the number of workspaces that this host keeps state of. */
  int size() {
    return buckets.size();
  }

  /**
   * Registers the counters of the permits that this host grants.
   *
   * @param registry the host's metrics
   */
  void registerCounters(GatewayMetrics registry) {
    registry.registerCounter(
        "cactusstack_quota_permits_granted",
        "Permits that this host granted to itself and other hosts",
        this::grantedCount);
    registry.registerCounter(
        "cactusstack_quota_permits_refused",
        "Requests for a permit that this host refused",
        () -> refused);
    registry.registerCounter(
        "cactusstack_quota_permits_returned",
        "Permits returned in time because their requests did not run",
        this::returnedCount);
  }

  /** Returns how many permits this host has granted, without repeated answers. */
  long grantedCount() {
    return granted;
  }

  /** Returns how many permits were returned in time to be granted again. */
  long returnedCount() {
    return returned;
  }
}
