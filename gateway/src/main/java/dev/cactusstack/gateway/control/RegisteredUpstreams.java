package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.registrations.RegistrationState;
import dev.cactusstack.decisions.registrations.StoreOutageDetector;
import dev.cactusstack.decisions.registrations.UpstreamRegistry;
import dev.cactusstack.gateway.observe.EventLine;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds the registered upstreams and merges what was read into them. Those that are missing after
 * an outage or a restore of the store are kept for a short time. Confined to the event loop.
 */
final class RegisteredUpstreams {
  private static final long RENEWAL_TIME_MS = 2_200;

  private final EventLog log;
  private final UpstreamRegistry registry = new UpstreamRegistry();
  private final StoreOutageDetector outageDetector = new StoreOutageDetector(RENEWAL_TIME_MS);
  private boolean restored;

  /**
   * Creates an instance without upstreams.
   *
   * @param log logs changes of upstreams
   */
  RegisteredUpstreams(EventLog log) {
    this.log = log;
  }

  /** Records that the next full read is the first after a restore of the store. */
  void recordRestore() {
    restored = true;
  }

  /**
   * Records a failed read.
   *
   * @param requestedAtMs when it was requested, in milliseconds
   * @param othersRead whether other hosts could read the store then
   */
  void recordFailure(long requestedAtMs, boolean othersRead) {
    outageDetector.recordFailure(requestedAtMs, othersRead);
  }

  /**
   * Merges what was read.
   *
   * @param change the result of the read
   * @param requestedAtMs when the read was requested, in milliseconds
   * @param nowMs the current time on the same clock
   */
  void merge(UpstreamChange change, long requestedAtMs, long nowMs) {
    if (restored && change.fullSnapshot()) {
      restored = false;
      outageDetector.recordRestore();
    }
    outageDetector.recordRead(requestedAtMs, nowMs);
    Set<String> missing =
        change.fullSnapshot() ? new HashSet<>(registry.registeredIds()) : new HashSet<>();
    missing.removeAll(change.registrations().keySet());
    change
        .registrations()
        .forEach(
            (id, announced) -> {
              if (announced.isPresent()) {
                onAnnounced(announced.get(), change.revision(), nowMs);
              } else {
                missing.add(id);
              }
            });
    missing.forEach(id -> onMissing(id, change.revision(), nowMs));
    registry.forgetEnded(nowMs);
  }

  /**
   * Returns the upstreams of a service that are registered or still kept.
   *
   * @param service the service's name
   * @param nowMs the current time, in milliseconds
   * @return their registrations with the remaining warmup from now, in a list of its own
   */
  List<UpstreamRegistration> usable(String service, long nowMs) {
    return new ArrayList<>(registry.usable(service, nowMs));
  }

  /**
   * Checks whether an upstream is kept although its registration is missing.
   *
   * @param upstreamId the upstream's id
   * @return true if what is known of it dates from before the outage
   */
  boolean isLapsed(String upstreamId) {
    return registry.isLapsed(upstreamId);
  }

  /**
   * Returns when the last outage of the store began.
   *
   * @return the time, in milliseconds
   */
  long outageBeganAtMs() {
    return outageDetector.outageBeganAtMs();
  }

  private void onAnnounced(UpstreamRegistration upstream, long revision, long nowMs) {
    registry
        .announce(upstream, nowMs)
        .ifPresent(
            state ->
                upstreamEvent(upstream.id(), state, revision)
                    .with("service", upstream.service())
                    .with("address", upstream.address().toString())
                    .with("data_centre", upstream.dataCentre())
                    .with("cold_ms", upstream.warmupRemainingMs())
                    .write());
  }

  private void onMissing(String id, long revision, long nowMs) {
    registry
        .remove(id, outageDetector.renewedAtMs(), nowMs)
        .ifPresent(state -> upstreamEvent(id, state, revision).write());
  }

  private EventLine upstreamEvent(String id, RegistrationState state, long revision) {
    return log.event("upstream")
        .with("id", id)
        .with("state", state.label())
        .with("revision", revision);
  }
}
