package dev.cactusstack.gateway.scheduling;

import dev.cactusstack.decisions.gossip.PeerTable;
import dev.cactusstack.decisions.limits.UpstreamLimit;
import dev.cactusstack.decisions.placing.AttemptOutcome;
import dev.cactusstack.decisions.placing.AttemptReport;
import dev.cactusstack.decisions.placing.PlacementDecision;
import dev.cactusstack.decisions.placing.PlacementKey;
import dev.cactusstack.decisions.placing.PlacementRequest;
import dev.cactusstack.decisions.placing.UpstreamNotices;
import dev.cactusstack.decisions.registrations.RegistrationAge;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.site.HostRegistration;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Requests the placement of each request from the host that schedules its service.
 *
 * <p>Hosts that agree on which hosts are alive also agree on the scheduling host. A placement
 * request without a response is sent once more, because datagrams may be lost, and because two
 * hosts that schedule the same service each know less than one would. A host that still does not
 * respond is skipped for a while: the request goes to the next host in the ranking, and then to
 * this host's own scheduler. Confined to the event loop.
 */
public final class PlacementClient {
  private static final long RESEND_AFTER_MS = 35;
  private static final long RESPONSE_TIMEOUT_MS = 50;
  private static final int MAX_REMOTE_ATTEMPTS = 2;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final MessageSender link;
  private final PeerTable peers;
  private final LocalSchedulers schedulers;
  private final UpstreamNotices notices;
  private final SchedulerSelector selector;
  private final int selfHash;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<Long, Address> schedulerByRequest = new HashMap<>();
  private final Map<Integer, Address> requesters = new HashMap<>();
  private final Map<String, Optional<HostRegistration>> lastSchedulers = new HashMap<>();
  private final RecentReports recentReports = new RecentReports();
  private long lastSequenceNumber;

  /**
   * Creates a client without pending requests.
   *
   * @param loop the event loop that all methods run on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs decisions
   * @param link sends messages to other hosts
   * @param peers tracks which hosts are alive
   * @param schedulers this host's own schedulers
   * @param notices what upstreams have said about themselves to this host
   * @param hostName this host's name
   * @param initialSequenceNumber the number before the first request, different each time the host
   *     starts
   */
  public PlacementClient(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      MessageSender link,
      PeerTable peers,
      LocalSchedulers schedulers,
      UpstreamNotices notices,
      String hostName,
      long initialSequenceNumber) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.link = link;
    this.peers = peers;
    this.schedulers = schedulers;
    this.notices = notices;
    this.selfHash = PeerTable.hash(hostName);
    this.selector = new SchedulerSelector(clock, peers::eligibleSchedulers, selfHash);
    this.lastSequenceNumber = initialSequenceNumber;
    schedulers.onDecision(this::handleLocalDecision);
  }

  /**
   * Returns the key for a new placement request.
   *
   * @return a key that is unique in this site
   */
  public PlacementKey nextKey() {
    return new PlacementKey(selfHash, ++lastSequenceNumber);
  }

  /**
   * Requests a placement.
   *
   * @param service the service's name
   * @param request the request
   * @param callback receives the final decision, a placement or a rejection
   */
  public void requestPlacement(
      String service, PlacementRequest request, Consumer<PlacementDecision> callback) {
    askScheduler(new PendingRequest(service, request, callback));
  }

  /**
   * Reports the outcome of an attempt.
   *
   * @param service the service's name
   * @param attempt the report
   */
  public void report(String service, AttemptReport attempt) {
    Address placingHost = schedulerByRequest.remove(attempt.key().sequenceNumber());
    if (placingHost == null) {
      schedulers.report(service, attempt);
      return;
    }
    List<AttemptReport> sentReports =
        recentReports.add(placingHost, service, attempt, clock.getAsLong());
    link.send(new LinkMessage.AttemptsEnded(service, sentReports), placingHost);
  }

  /**
   * Cancels a pending placement request.
   *
   * @param key the key of the request
   */
  public void cancelPlacement(PlacementKey key) {
    PendingRequest pendingRequest = pendingRequests.remove(key.sequenceNumber());
    if (pendingRequest == null) {
      return;
    }
    pendingRequest.stopTimer();
    if (pendingRequest.scheduler == null) {
      schedulers.cancelQueued(pendingRequest.service, key);
    } else {
      link.send(
          new LinkMessage.RequestCancelled(pendingRequest.service, key), pendingRequest.scheduler);
    }
  }

  /**
   * Handles a message of another host.
   *
   * @param message the message
   * @param from its sender
   */
  public void onMessage(LinkMessage message, Address from) {
    if (message instanceof LinkMessage.RequestSubmitted submitted) {
      requesters.put(submitted.request().key().hostHash(), from);
      schedulers.requestDecision(
          submitted.service(),
          submitted.request(),
          () -> link.send(new LinkMessage.RequestDeclined(keyOf(submitted)), from));
    } else if (message instanceof LinkMessage.DecisionMade decided) {
      onDecisionMade(decided, from);
    } else if (message instanceof LinkMessage.RequestDeclined declined) {
      PendingRequest pendingRequest = pendingRequests.get(declined.key().sequenceNumber());
      if (pendingRequest != null && from.equals(pendingRequest.scheduler)) {
        skipScheduler(pendingRequest, from, "unable");
      }
    } else if (message instanceof LinkMessage.AttemptsEnded ended) {
      ended.reports().forEach(attempt -> schedulers.report(ended.service(), attempt));
    } else if (message instanceof LinkMessage.RequestCancelled cancelled) {
      schedulers.cancelQueued(cancelled.service(), cancelled.key());
    } else if (message instanceof LinkMessage.LimitsKnown known) {
      schedulers.recordLimits(known.service(), known.limits());
    }
  }

  private static PlacementKey keyOf(LinkMessage.RequestSubmitted submitted) {
    return submitted.request().key();
  }

  private void askScheduler(PendingRequest pendingRequest) {
    Optional<HostRegistration> scheduler =
        pendingRequest.attempts < MAX_REMOTE_ATTEMPTS
            ? selector.remoteScheduler(pendingRequest.service)
            : Optional.empty();
    pendingRequest.attempts++;
    pendingRequests.put(pendingRequest.request.key().sequenceNumber(), pendingRequest);
    tellLimits(pendingRequest.service, scheduler);
    if (scheduler.isEmpty()) {
      pendingRequest.scheduler = null;
      schedulers.requestDecision(pendingRequest.service, pendingRequest.request);
      return;
    }
    Address address = scheduler.get().linkAddress();
    pendingRequest.scheduler = address;
    pendingRequest.resent = false;
    sendRequest(pendingRequest, address, RESEND_AFTER_MS);
  }

  /**
   * Tells a scheduler what this host knows of the limits of a service's upstreams, before the first
   * request after requests to another scheduler, or to an earlier start of the same one.
   *
   * @param scheduler the scheduler; empty if it is this host's own
   */
  private void tellLimits(String service, Optional<HostRegistration> scheduler) {
    if (scheduler.equals(lastSchedulers.put(service, scheduler))) {
      return;
    }
    List<UpstreamLimit> limits = notices.limits(service, clock.getAsLong());
    if (limits.isEmpty()) {
      return;
    }
    scheduler.ifPresentOrElse(
        host -> link.send(new LinkMessage.LimitsKnown(service, limits), host.linkAddress()),
        () -> schedulers.recordLimits(service, limits));
  }

  private void sendRequest(PendingRequest pendingRequest, Address remoteScheduler, long timeoutMs) {
    pendingRequest.startTimer(
        loop.schedule(() -> onResponseTimeout(pendingRequest), timeoutMs, TimeUnit.MILLISECONDS));
    link.send(
        new LinkMessage.RequestSubmitted(pendingRequest.service, pendingRequest.request),
        remoteScheduler);
  }

  private void onResponseTimeout(PendingRequest pendingRequest) {
    Address scheduler = pendingRequest.scheduler;
    if (pendingRequests.get(pendingRequest.request.key().sequenceNumber()) != pendingRequest
        || scheduler == null) {
      return;
    }
    if (!pendingRequest.queued && !pendingRequest.resent) {
      pendingRequest.resent = true;
      sendRequest(pendingRequest, scheduler, RESPONSE_TIMEOUT_MS);
      return;
    }
    link.send(
        new LinkMessage.RequestCancelled(pendingRequest.service, pendingRequest.request.key()),
        scheduler);
    skipScheduler(pendingRequest, scheduler, "silent");
  }

  /** Sends the request to the next host, and no requests to the given host for a while. */
  private void skipScheduler(PendingRequest pendingRequest, Address scheduler, String reason) {
    pendingRequest.stopTimer();
    selector.suspect(scheduler);
    log.event("scheduler_passed_over")
        .with("why", reason)
        .with("service", pendingRequest.service)
        .with("asked", scheduler.toString())
        .with("ask", pendingRequest.request.key().sequenceNumber())
        .write();
    if (pendingRequest.queued) {
      complete(
          pendingRequest,
          new PlacementDecision.Rejected(pendingRequest.request.key(), RESPONSE_TIMEOUT_MS));
    } else {
      askScheduler(pendingRequest);
    }
  }

  /**
   * Handles a decision of another host. A placement that rests on old registrations is used only if
   * nobody seems to have newer ones, or right after an outage of the store, when registrations that
   * expired during it are not renewed yet.
   */
  private void onDecisionMade(LinkMessage.DecisionMade decided, Address from) {
    PendingRequest pendingRequest = pendingRequests.get(decided.decision().key().sequenceNumber());
    long now = clock.getAsLong();
    boolean tooOld =
        decided.decision() instanceof PlacementDecision.Placed
            && RegistrationAge.isTooOldForPlacement(decided.registrationsAgeMs())
            && !peers.wasStoreOutage(now);
    if (!tooOld || pendingRequest == null || !from.equals(pendingRequest.scheduler)) {
      selector.clearSuspicion(from);
      handleDecision(decided.decision(), from);
      return;
    }
    var placed = (PlacementDecision.Placed) decided.decision();
    if (peers.isStoreConfirmed(now)) {
      rejectOldPlacement(pendingRequest, placed, from);
      return;
    }
    schedulers.tryRefresh(
        refreshed -> {
          boolean pending =
              pendingRequests.get(placed.key().sequenceNumber()) == pendingRequest
                  && from.equals(pendingRequest.scheduler);
          if (refreshed && pending) {
            rejectOldPlacement(pendingRequest, placed, from);
          } else {
            handleDecision(placed, from);
          }
        });
  }

  private void rejectOldPlacement(
      PendingRequest pendingRequest, PlacementDecision.Placed placed, Address from) {
    returnPlacement(pendingRequest, placed, from);
    skipScheduler(pendingRequest, from, "stale");
  }

  private void handleDecision(PlacementDecision placementDecision, Address from) {
    PendingRequest pendingRequest = pendingRequests.get(placementDecision.key().sequenceNumber());
    boolean expected = pendingRequest != null && from.equals(pendingRequest.scheduler);
    if (pendingRequest == null || !expected) {
      if (placementDecision instanceof PlacementDecision.Placed placed) {
        returnPlacement(pendingRequest, placed, from);
      }
      return;
    }
    if (placementDecision instanceof PlacementDecision.Queued) {
      pendingRequest.stopTimer();
      pendingRequest.queued = true;
      long waitMs = pendingRequest.request.deadlineRemainingMs();
      pendingRequest.startTimer(
          loop.schedule(() -> onResponseTimeout(pendingRequest), waitMs, TimeUnit.MILLISECONDS));
      return;
    }
    if (placementDecision instanceof PlacementDecision.Placed) {
      schedulerByRequest.put(placementDecision.key().sequenceNumber(), from);
    }
    complete(pendingRequest, placementDecision);
  }

  private void returnPlacement(
      @Nullable PendingRequest pendingRequest,
      PlacementDecision.Placed placementDecision,
      Address from) {
    PlacementKey key = placementDecision.key();
    boolean inUse = from.equals(schedulerByRequest.get(key.sequenceNumber()));
    if (inUse || recentReports.contains(from, key)) {
      return;
    }
    var unused =
        new AttemptReport(
            key,
            placementDecision.upstream().id(),
            AttemptOutcome.UNUSED,
            0,
            Optional.empty(),
            notices.current(placementDecision.upstream(), clock.getAsLong()));
    String service =
        pendingRequest != null ? pendingRequest.service : placementDecision.upstream().service();
    link.send(new LinkMessage.AttemptsEnded(service, List.of(unused)), from);
  }

  /** Delivers a decision of this host's own schedulers. */
  private void handleLocalDecision(PlacementDecision placementDecision) {
    if (placementDecision.key().hostHash() != selfHash) {
      Address requester = requesters.get(placementDecision.key().hostHash());
      if (requester != null) {
        long ageMs = schedulers.registrationsAgeMs(placementDecision);
        link.send(new LinkMessage.DecisionMade(placementDecision, ageMs), requester);
      }
      return;
    }
    PendingRequest pendingRequest = pendingRequests.get(placementDecision.key().sequenceNumber());
    if (pendingRequest != null
        && pendingRequest.scheduler == null
        && !(placementDecision instanceof PlacementDecision.Queued)) {
      complete(pendingRequest, placementDecision);
    }
  }

  private void complete(PendingRequest pendingRequest, PlacementDecision placementDecision) {
    pendingRequests.remove(pendingRequest.request.key().sequenceNumber());
    pendingRequest.stopTimer();
    pendingRequest.callback.accept(placementDecision);
  }

  private static final class PendingRequest {
    private final String service;
    private final PlacementRequest request;
    private final Consumer<PlacementDecision> callback;
    private int attempts;
    private boolean resent;
    private boolean queued;
    private @Nullable Address scheduler;
    private @Nullable Future<?> timer;

    PendingRequest(String service, PlacementRequest request, Consumer<PlacementDecision> callback) {
      this.service = service;
      this.request = request;
      this.callback = callback;
    }

    void startTimer(Future<?> newTimer) {
      timer = newTimer;
    }

    void stopTimer() {
      if (timer != null) {
        timer.cancel(false);
        timer = null;
      }
    }
  }
}
