package dev.cactusstack.gateway.site;

import dev.cactusstack.decisions.recovery.StoreEra;
import dev.cactusstack.decisions.recovery.StoreRevision;
import java.util.function.LongConsumer;

/**
 * Follows the era of the store by its answers, for implementations of {@link SiteStore}: fails
 * answers that must not be used, and combines revisions with their era. Confined to the event loop.
 */
public final class StoreEraTracker {
  private final StoreEra era = new StoreEra();
  private LongConsumer restoreListener = restoredEra -> {};

  /**
   * Sets the listener for restores of the store.
   *
   * @param listener receives each era that a restore has begun
   */
  public void onRestored(LongConsumer listener) {
    restoreListener = listener;
  }

  /**
   * Records the era of an answer.
   *
   * @param told the era that the answer tells; 0 or an impossible one if it tells none
   * @throws StoreException if the answer was given before a known restore
   */
  public void record(long told) {
    long answerEra = StoreRevision.isEra(told) ? told : StoreRevision.UNKNOWN_ERA;
    switch (era.record(answerEra)) {
      case CURRENT -> {}
      case RESTORED -> restoreListener.accept(era.current());
      case OUTDATED -> throw restoredMeanwhile();
    }
  }

  /**
   * Combines a revision with the era of the answer that it comes from.
   *
   * @param revision a revision of the answer that was recorded last
   * @return the pair, see {@link StoreRevision}
   */
  public long withEra(long revision) {
    return StoreRevision.of(era.current(), revision);
  }

  /**
   * Returns the store's revision of a pair.
   *
   * @param pair a known revision with its era
   * @return the revision
   * @throws StoreException if it is of another era, so that everything has to be read
   */
  public long withoutEra(long pair) {
    if (!era.hasChangesSince(pair)) {
      throw restoredMeanwhile();
    }
    return StoreRevision.revisionOf(pair);
  }

  private static StoreException restoredMeanwhile() {
    return new StoreException(
        StoreException.Kind.HISTORY_UNAVAILABLE, "the store was restored meanwhile");
  }
}
