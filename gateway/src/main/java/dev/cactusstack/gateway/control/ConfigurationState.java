package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.recovery.RestoredEvacuations;
import dev.cactusstack.decisions.recovery.RestoredRules;
import dev.cactusstack.decisions.recovery.StoreRevision;
import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.ConfigurationSnapshot;
import dev.cactusstack.model.site.SiteConfiguration;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration in force and decides which changes apply to it. Does no I/O and reads no
 * clock.
 *
 * <p>Invariant: the configuration in force never reverts to an older revision. Confined to the
 * event loop.
 */
final class ConfigurationState {
  private final RestoredRules restoredRules = new RestoredRules();
  private final RestoredEvacuations restoredEvacuations = new RestoredEvacuations();
  private @Nullable SiteConfiguration current;

  /** Evacuated data centres by the store; those in force may be more after a restore. */
  private Set<String> storedEvacuated = Set.of();

  private long lastChangeRevision;
  private long rulesEra;

  /**
   * An applied change. Immutable and thread-safe.
   *
   * @param configuration the configuration after the change
   * @param changed whether it differs from the one before in more than its revision
   * @param rulesChanged whether its rules differ from those before
   * @param newToOthers whether other hosts may not have the configuration
   * @param lastChangeKnown whether the change told the revision of its newest change
   */
  record Update(
      SiteConfiguration configuration,
      boolean changed,
      boolean rulesChanged,
      boolean newToOthers,
      boolean lastChangeKnown) {}

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, or nothing before one is known
   */
  Optional<SiteConfiguration> current() {
    return Optional.ofNullable(current);
  }

  /**
   * Returns whether a configuration is known.
   *
   * @return true from the first change that was applied
   */
  boolean isKnown() {
    return current != null;
  }

  /**
   * Returns the revision at which the configuration in force was last changed.
   *
   * @return the store's revision of the change, 0 before one is known
   */
  long lastChangeRevision() {
    return lastChangeRevision;
  }

  /**
   * Returns the configuration in force with the revision of its newest change, as other hosts
   * receive it: with the evacuations that the store has. Each host holds those that it knew itself.
   *
   * @return the configuration, or nothing before one is known
   */
  Optional<ConfigurationSnapshot> snapshot() {
    return current().map(this::toSnapshot);
  }

  private ConfigurationSnapshot toSnapshot(SiteConfiguration known) {
    return new ConfigurationSnapshot(
        known.withEvacuated(storedEvacuated), lastChangeRevision, rulesEra);
  }

  /**
   * Checks whether something in force was read before the restore that is known.
   *
   * @return true while rules are held although the store has older ones, or evacuations although
   *     the store does not have them
   */
  boolean isHolding() {
    return holdsRules() || holdsEvacuations();
  }

  private boolean holdsRules() {
    return current != null && rulesEra < StoreRevision.eraOf(current.revision());
  }

  private boolean holdsEvacuations() {
    return current != null && !current.evacuated().equals(storedEvacuated);
  }

  /**
   * Returns how long what is held stays in force unless the store changes.
   *
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return milliseconds from now until the first of it may no longer be in force
   */
  long holdRemainingMs(long nowMs) {
    return Math.min(restoredRules.remainingMs(nowMs), restoredEvacuations.remainingMs(nowMs));
  }

  /**
   * Applies a change.
   *
   * @param change the change
   * @param changeRulesEra the store's era in which the rules of the change were read
   * @param nowMs the current time on a monotonic clock, in milliseconds
   * @return the applied change, or nothing if it is outdated or there are no rules yet
   */
  Optional<Update> apply(ConfigurationChange change, long changeRulesEra, long nowMs) {
    SiteConfiguration previous = current;
    if (previous != null && isOutdated(previous, change)) {
      return Optional.empty();
    }
    boolean takesRules = takesRules(previous, change, changeRulesEra, nowMs);
    boolean lastChangeKnown = change.lastChangeRevision() > lastChangeRevision;
    lastChangeRevision = Math.max(lastChangeRevision, change.lastChangeRevision());
    SiteConfiguration merged = ConfigurationMerge.merge(previous, change, takesRules);
    if (merged == null) {
      return Optional.empty();
    }
    SiteConfiguration next = merged.withEvacuated(evacuatedAfter(previous, change, nowMs));
    current = next;
    rulesEra = takesRules ? changeRulesEra : rulesEra;
    boolean rulesChanged =
        previous == null || takesRules && !ConfigurationMerge.hasSameRules(previous, next);
    boolean changed =
        previous == null
            || rulesChanged
            || !previous.evacuated().equals(next.evacuated())
            || !previous.rollouts().equals(next.rollouts());
    boolean newToOthers = changed && (previous != null || !change.fullSnapshot());
    return Optional.of(new Update(next, changed, rulesChanged, newToOthers, lastChangeKnown));
  }

  /**
   * Returns what other hosts receive of an applied change.
   *
   * @param update the applied change
   * @return its configuration with the revision of its newest change
   */
  ConfigurationSnapshot announce(Update update) {
    if (!update.lastChangeKnown()) {
      // A full snapshot does not tell the revision at which an evacuation was taken back.
      lastChangeRevision = update.configuration().revision();
    }
    return toSnapshot(update.configuration());
  }

  /** Returns the evacuations after a change: those that the store has, and those that are held. */
  private Set<String> evacuatedAfter(
      @Nullable SiteConfiguration previous, ConfigurationChange change, long nowMs) {
    storedEvacuated = ConfigurationMerge.mergeEvacuated(storedEvacuated, change);
    if (previous != null && isLaterEra(change.revision(), previous.revision())) {
      restoredEvacuations.onRestored(previous.evacuated(), storedEvacuated, nowMs);
    }
    change.evacuations().keySet().forEach(restoredEvacuations::release);
    Set<String> evacuated = restoredEvacuations.held(nowMs);
    evacuated.addAll(storedEvacuated);
    return evacuated;
  }

  private static boolean isLaterEra(long revision, long than) {
    return StoreRevision.eraOf(revision) > StoreRevision.eraOf(than);
  }

  private boolean isOutdated(SiteConfiguration previous, ConfigurationChange change) {
    return change.revision() < previous.revision()
        || change.revision() == previous.revision() && !isHolding();
  }

  private boolean takesRules(
      @Nullable SiteConfiguration previous,
      ConfigurationChange change,
      long changeRulesEra,
      long nowMs) {
    if (change.rules().isEmpty() || previous == null) {
      return change.rules().isPresent();
    }
    return restoredRules.replaces(
        changeRulesEra, rulesEra, change.rules().get().version(), previous.version(), nowMs);
  }
}
