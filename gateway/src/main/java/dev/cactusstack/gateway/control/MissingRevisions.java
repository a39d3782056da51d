package dev.cactusstack.gateway.control;

import dev.cactusstack.decisions.workspaces.ConfigurationStaleness;
import dev.cactusstack.gateway.observe.EventLog;
import dev.cactusstack.model.site.SiteConfiguration;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

/**
 * Tracks revisions of the store whose change this host may not have: those that other hosts have
 * announced, and those that reads of something else show and nothing explains. The store is read
 * when the change does not arrive in time. Confined to the event loop.
 */
final class MissingRevisions {
  private static final long ANNOUNCED_CHANGE_WAIT_MS = 300;

  /** Longer than a change takes from the watch, or the start of a host by gossip as a rule. */
  private static final long EXPLANATION_WAIT_MS = 400;

  private static final long UNKNOWN_REVISION = 0;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final EventLoop loop;
  private final LongSupplier clock;
  private final EventLog log;
  private final ConfigurationState state;
  private final ConfigurationReads reads;
  private final LongPredicate isHostStart;
  private final Set<Long> unexplainedRevisions = new HashSet<>();
  private long announcedRevision;
  private long announcedAtMs = NEVER;
  private boolean explanationPending;

  /**
   * Creates an instance that knows of no revisions.
   *
   * @param loop the event loop that reads are scheduled on
   * @param clock a monotonic clock, in milliseconds
   * @param log logs why the store is read
   * @param state the configuration in force
   * @param reads reads the store
   * @param isHostStart whether a host is known to have registered at a revision of the store
   */
  MissingRevisions(
      EventLoop loop,
      LongSupplier clock,
      EventLog log,
      ConfigurationState state,
      ConfigurationReads reads,
      LongPredicate isHostStart) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.state = state;
    this.reads = reads;
    this.isHostStart = isHostStart;
  }

  /**
   * Checks whether there may be a change that this host does not have yet. An announcement is
   * forgotten after a while, because the host that made it may have been wrong.
   *
   * @return true until the change is in force here
   */
  boolean mayBeBehind() {
    boolean announced =
        isBehind(announcedRevision)
            && clock.getAsLong() - announcedAtMs <= ConfigurationStaleness.MAX_UNCONFIRMED_MS;
    return announced || hasUnexplainedRevisions();
  }

  /**
   * Handles the announcement of a revision by another host.
   *
   * @param revision the store's revision of the change
   * @param query queries that host for its configuration, given this host's revision
   */
  void onAnnounced(long revision, LongConsumer query) {
    if (!isBehind(revision)) {
      return;
    }
    announcedRevision = revision;
    announcedAtMs = clock.getAsLong();
    if (reads.tryReserve()) {
      query.accept(state.current().map(SiteConfiguration::revision).orElse(UNKNOWN_REVISION));
      loop.schedule(() -> readIfBehind(revision), ANNOUNCED_CHANGE_WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Handles revisions of the store at which something other than upstreams changed.
   *
   * @param revisions the revisions, possibly none
   */
  void onOthers(Collection<Long> revisions) {
    unexplainedRevisions.addAll(revisions);
    if (!explanationPending && hasUnexplainedRevisions()) {
      explanationPending = true;
      loop.schedule(this::readIfUnexplained, EXPLANATION_WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isBehind(long revision) {
    return state
        .current()
        .map(known -> known.revision() < revision)
        .orElse(revision != UNKNOWN_REVISION);
  }

  private void readIfBehind(long revision) {
    if (!isBehind(revision)) {
      reads.release();
      return;
    }
    log.event("configuration_watch_silent").with("revision", revision).write();
    reads.read();
  }

  private void readIfUnexplained() {
    explanationPending = false;
    if (hasUnexplainedRevisions()) {
      log.event("configuration_unexplained_change")
          .with("revision", Collections.max(unexplainedRevisions))
          .write();
      reads.readUnlessPending();
    }
  }

  private boolean hasUnexplainedRevisions() {
    long knownRevision = state.current().map(SiteConfiguration::revision).orElse(Long.MAX_VALUE);
    unexplainedRevisions.removeIf(
        revision -> revision <= knownRevision || isHostStart.test(revision));
    return !unexplainedRevisions.isEmpty();
  }
}
