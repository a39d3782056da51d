package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.quotas.QuotaDecision;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.observe.GatewayMetrics;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Requests the permit for each request of a workspace with a quota from the quota's owner.
 *
 * <p>A request without an answer is sent once more. An owner that still does not answer is skipped
 * for a while, one that can't decide for this request: the next host in the ranking is asked, then
 * this host decides by its own share. If this host is the owner, it decides at once and without a
 * message. Confined to the event loop.
 */
public final class QuotaClient {
  private static final long RESEND_AFTER_MS = 35;
  private static final long RESPONSE_TIMEOUT_MS = 50;
  private static final int MAX_REMOTE_ATTEMPTS = 2;

  private final EventLoop loop;
  private final EventLog log;
  private final MessageSender link;
  private final QuotaOwners owners;
  private final Supplier<PlacementKey> nextKey;
  private final SchedulerSelector selector;
  private final Map<PlacementKey, Permit> pending = new HashMap<>();
  private long ownShareDecisions;

  /**
   * Creates a client without pending requests.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs which owners are skipped
   * @param link sends messages to other hosts
   * @param selfHash hash of this host's name
   * @param owners this host as an owner
   * @param nextKey supplies keys that are unique in this site
   */
  public QuotaClient(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      MessageSender link,
      int selfHash,
      QuotaOwners owners,
      Supplier<PlacementKey> nextKey) {
    this.loop = loop;
    this.log = log;
    this.link = link;
    this.owners = owners;
    this.nextKey = nextKey;
    this.selector = new SchedulerSelector(clock, owners::candidates, selfHash);
  }

  /**
   * Creates the permit of one request, which has not been requested yet.
   *
   * @param workspace the name of a workspace with a quota
   * @param callback receives the decision, granted or refused, possibly while the permit is being
   *     requested
   * @return the permit
   */
  public Permit permit(String workspace, Consumer<QuotaDecision> callback) {
    return new Permit(workspace, nextKey.get(), callback);
  }

  /**
   * Handles a message of another host.
   *
   * @param message the message
   * @param from its sender
   * @return false if the message is not about quotas
   */
  public boolean onMessage(LinkMessage message, Address from) {
    if (message instanceof LinkMessage.QuotaRequested requested) {
      QuotaDecision decision = owners.decide(requested.workspace(), requested.key());
      link.send(new LinkMessage.QuotaDecided(requested.key(), decision), from);
    } else if (message instanceof LinkMessage.QuotaDecided decided) {
      Permit permit = pending.get(decided.key());
      if (permit != null && from.equals(permit.owner)) {
        permit.onDecided(decided.decision(), from);
      }
    } else if (message instanceof LinkMessage.QuotaReturned returned) {
      owners.giveBack(returned.workspace(), returned.key());
    } else {
      return false;
    }
    return true;
  }

  /**
   * Registers the counters of permits.
   *
   * @param registry the host's metrics
   */
  public void registerCounters(GatewayMetrics registry) {
    owners.registerCounters(registry);
    registry.registerCounter(
        "cactusstack_quota_own_share_decisions",
        "Requests decided by this host's own share because no owner answered",
        this::ownShareDecisionCount);
  }

  /** Returns how many requests this host decided by its own share although it is not the owner. */
  long ownShareDecisionCount() {
    return ownShareDecisions;
  }

  int pendingCount() {
    return pending.size();
  }

  /** The permit of one request. Invariant: it is returned at most once. */
  public final class Permit {
    private final String workspace;
    private final PlacementKey key;
    private final Consumer<QuotaDecision> callback;
    private final Set<Address> unable = new HashSet<>();
    private @Nullable Address owner;
    private @Nullable Future<?> timer;
    private int attempts;
    private boolean resent;
    private boolean returned;

    private Permit(String workspace, PlacementKey key, Consumer<QuotaDecision> callback) {
      this.workspace = workspace;
      this.key = key;
      this.callback = callback;
    }

    /** Requests the permit. */
    public void request() {
      Optional<HostRegistration> remote =
          attempts < MAX_REMOTE_ATTEMPTS
              ? selector.remoteScheduler(QuotaOwners.rankingKey(workspace), unable)
              : Optional.empty();
      attempts++;
      if (remote.isEmpty()) {
        decideHere();
        return;
      }
      owner = remote.get().linkAddress();
      resent = false;
      pending.put(key, this);
      send(owner, RESEND_AFTER_MS);
    }

    /** Returns the permit, or cancels the request for it, because the request did not run. */
    public void giveBack() {
      if (returned) {
        return;
      }
      returned = true;
      stopTimer();
      pending.remove(key);
      if (owner == null) {
        owners.giveBack(workspace, key);
      } else {
        link.send(new LinkMessage.QuotaReturned(workspace, key), owner);
      }
    }

    private void send(Address to, long timeoutMs) {
      timer = loop.schedule(() -> onTimeout(to), timeoutMs, TimeUnit.MILLISECONDS);
      link.send(new LinkMessage.QuotaRequested(workspace, key), to);
    }

    private void onTimeout(Address asked) {
      if (resent) {
        // A permit whose decision was lost or is late is not used any more.
        link.send(new LinkMessage.QuotaReturned(workspace, key), asked);
        selector.suspect(asked);
        skip(asked, "silent");
      } else {
        resent = true;
        send(asked, RESPONSE_TIMEOUT_MS);
      }
    }

    private void onDecided(QuotaDecision decision, Address from) {
      if (decision.outcome() == QuotaDecision.Outcome.UNDECIDED) {
        // The host may well own other quotas, so only this request goes elsewhere.
        unable.add(from);
        skip(from, "unable");
        return;
      }
      selector.clearSuspicion(from);
      complete(decision);
    }

    private void skip(Address asked, String reason) {
      stopTimer();
      pending.remove(key);
      log.event("quota_owner_passed_over")
          .with("why", reason)
          .with("workspace", workspace)
          .with("asked", asked.toString())
          .with("ask", key.sequenceNumber())
          .write();
      request();
    }

    private void decideHere() {
      owner = null;
      if (!owners.isOwner(workspace)) {
        ownShareDecisions++;
      }
      QuotaDecision decision = owners.decide(workspace, key);
      complete(
          decision.outcome() == QuotaDecision.Outcome.UNDECIDED
              ? QuotaDecision.refused(QuotaOwners.RETRY_WITHOUT_SHARE_MS)
              : decision);
    }

    private void complete(QuotaDecision decision) {
      stopTimer();
      pending.remove(key);
      returned = !decision.isGranted();
      callback.accept(decision);
    }

    private void stopTimer() {
      if (timer != null) {
        timer.cancel(false);
        timer = null;
      }
    }
  }
}
