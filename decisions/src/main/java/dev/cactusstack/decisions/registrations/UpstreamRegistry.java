package dev.cactusstack.decisions.registrations;

import dev.cactusstack.model.site.UpstreamRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The registrations of upstreams that this host knows, and those that have ended.
 *
 * <p>Invariant: within one incarnation of an upstream, an announcement never replaces a later one,
 * also if the later one was followed by the removal of the registration. An upstream that has left
 * is therefore not used again because an old announcement arrives late. Confined to one thread.
 */
public final class UpstreamRegistry {
  /** How long an ended registration is remembered, in milliseconds. */
  private static final long ENDED_RETENTION_MS = 60_000;

  private final Map<String, Entry> entries = new HashMap<>();

  /**
   * Records an announcement of an upstream.
   *
   * @param announced the registration
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return the upstream's state if it is another than before
   */
  public Optional<RegistrationState> announce(UpstreamRegistration announced, long nowMs) {
    Entry previous = entries.get(announced.id());
    if (previous != null && previous.supersedes(announced)) {
      return Optional.empty();
    }
    RegistrationState state =
        announced.leaving() ? RegistrationState.LEAVING : RegistrationState.SERVING;
    entries.put(announced.id(), Entry.announced(announced, state, nowMs));
    boolean unchanged =
        previous != null
            && previous.state == state
            && previous.registration.isSameIncarnation(announced)
            && previous.registration.address().equals(announced.address());
    return unchanged ? Optional.empty() : Optional.of(state);
  }

  /**
   * Records that the registration of an upstream is missing.
   *
   * @param id the upstream's id
   * @param renewalEndsAtMs time on the same clock until which an upstream that is alive may have
   *     been unable to renew its registration, because the store was unavailable
   * @param nowMs the current time on the same clock
   * @return the upstream's state if it is another than before
   */
  public Optional<RegistrationState> remove(String id, long renewalEndsAtMs, long nowMs) {
    Entry previous = entries.get(id);
    if (previous == null || previous.hasEnded()) {
      return Optional.empty();
    }
    boolean lapsed = nowMs < renewalEndsAtMs && previous.state == RegistrationState.SERVING;
    RegistrationState state = lapsed ? RegistrationState.LAPSED : RegistrationState.GONE;
    entries.put(id, previous.ended(state, lapsed ? renewalEndsAtMs : nowMs));
    return Optional.of(state);
  }

  /**
   * Checks whether an upstream is in use although its registration is missing.
   *
   * @param id the upstream's id
   * @return true if its registration may have expired during an outage of the store
   */
  public boolean isLapsed(String id) {
    Entry entry = entries.get(id);
    return entry != null && entry.state == RegistrationState.LAPSED;
  }

  /**
   * Returns the upstreams whose registration has not ended.
   *
   * @return their ids
   */
  public Set<String> registeredIds() {
    Set<String> ids = new HashSet<>();
    entries.forEach(
        (id, entry) -> {
          if (!entry.hasEnded()) {
            ids.add(id);
          }
        });
    return ids;
  }

  /**
   * Forgets registrations that ended long ago.
   *
   * @param nowMs the current time on the same clock
   */
  public void forgetEnded(long nowMs) {
    entries.values().removeIf(e -> e.hasEnded() && nowMs - e.usableUntilMs >= ENDED_RETENTION_MS);
  }

  /**
   * Returns the upstreams of a service that may receive requests.
   *
   * @param service the service's name
   * @param nowMs the current time on the same clock
   * @return their registrations, with the warmup that remains now
   */
  public List<UpstreamRegistration> usable(String service, long nowMs) {
    List<UpstreamRegistration> result = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.registration.service().equals(service) && nowMs < entry.usableUntilMs) {
        result.add(
            entry.registration.withWarmupRemaining(Math.max(0, entry.warmupEndsAtMs - nowMs)));
      }
    }
    return result;
  }

  /**
   * What is known of one upstream.
   *
   * @param registration its last announcement
   * @param state the state of the registration
   * @param usableUntilMs when it must not receive requests any more
   * @param warmupEndsAtMs when it has warmed up
   */
  private record Entry(
      UpstreamRegistration registration,
      RegistrationState state,
      long usableUntilMs,
      long warmupEndsAtMs) {
    static Entry announced(UpstreamRegistration announced, RegistrationState state, long nowMs) {
      long usableUntilMs = state == RegistrationState.SERVING ? Long.MAX_VALUE : nowMs;
      return new Entry(announced, state, usableUntilMs, nowMs + announced.warmupRemainingMs());
    }

    Entry ended(RegistrationState endState, long endsAtMs) {
      return new Entry(registration, endState, endsAtMs, warmupEndsAtMs);
    }

    boolean hasEnded() {
      return state == RegistrationState.LAPSED || state == RegistrationState.GONE;
    }

    /** Checks whether an announcement is older than what is known of the upstream. */
    boolean supersedes(UpstreamRegistration announced) {
      if (announced.startedAtMs() != registration.startedAtMs()) {
        return announced.startedAtMs() < registration.startedAtMs();
      }
      if (announced.announcement() != registration.announcement()) {
        return announced.announcement() < registration.announcement();
      }
      return announced.announcement() > 0 && hasEnded();
    }
  }
}
