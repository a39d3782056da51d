package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.RolloutRow;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.site.HostRegistration;
import dev.cactusstack.model.site.RolloutStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongConsumer;

/** A store whose pending calls a test completes one by one. */
final class FakeStore implements SiteStore {
  final List<CompletableFuture<ConfigurationChange>> configurationReads = new ArrayList<>();
  final List<CompletableFuture<ConfigurationChange>> configurationWatches = new ArrayList<>();
  final List<Long> watchedRevisions = new ArrayList<>();
  final List<CompletableFuture<UpstreamChange>> upstreamReads = new ArrayList<>();
  final List<Long> upstreamReadRevisions = new ArrayList<>();
  final List<CompletableFuture<RolloutRow>> rolloutReads = new ArrayList<>();
  final List<CompletableFuture<Long>> rolloutWrites = new ArrayList<>();
  final List<RolloutStatus> writtenStatuses = new ArrayList<>();
  final List<Long> writtenOverRevisions = new ArrayList<>();

  /** The registrations that hosts wrote, in order. */
  final List<HostRegistration> registrations = new ArrayList<>();

  private LongConsumer restoreListener = era -> {};

  /** The hosts that a registration is confirmed with; without them it is never confirmed. */
  List<HostRegistration> registeredHosts = List.of();

  /** Returns a failure as a dependent stage of the store's call reports it, which wraps it. */
  static CompletionException failure(StoreException.Kind kind) {
    return new CompletionException(new StoreException(kind, "test"));
  }

  private static <T> CompletableFuture<T> addPending(List<CompletableFuture<T>> calls) {
    var call = new CompletableFuture<T>();
    calls.add(call);
    return call;
  }

  @Override
  public CompletableFuture<ConfigurationChange> readConfiguration() {
    return addPending(configurationReads);
  }

  @Override
  public CompletableFuture<ConfigurationChange> watchConfiguration(
      long knownRevision, long maxWaitMs) {
    watchedRevisions.add(knownRevision);
    return addPending(configurationWatches);
  }

  @Override
  public CompletableFuture<UpstreamChange> readUpstreams() {
    upstreamReadRevisions.add(-1L);
    return addPending(upstreamReads);
  }

  @Override
  public CompletableFuture<UpstreamChange> readUpstreamChanges(long knownRevision) {
    upstreamReadRevisions.add(knownRevision);
    return addPending(upstreamReads);
  }

  @Override
  public CompletableFuture<List<HostRegistration>> readHosts() {
    return CompletableFuture.completedFuture(registeredHosts);
  }

  @Override
  public CompletableFuture<HostRegistration> register(HostRegistration registration) {
    registrations.add(registration);
    return registeredHosts.isEmpty()
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(registration);
  }

  @Override
  public void onRestored(LongConsumer listener) {
    restoreListener = listener;
  }

  /** Tells that an answer has shown a new era. */
  void restore(long era) {
    restoreListener.accept(era);
  }

  @Override
  public CompletableFuture<RolloutRow> readRolloutStatus(String service) {
    return addPending(rolloutReads);
  }

  @Override
  public CompletableFuture<Long> writeRolloutStatus(
      String service, RolloutStatus status, long expectedRevision) {
    writtenStatuses.add(status);
    writtenOverRevisions.add(expectedRevision);
    return addPending(rolloutWrites);
  }

  @Override
  public long callCount() {
    return configurationReads.size()
        + configurationWatches.size()
        + upstreamReads.size()
        + rolloutReads.size()
        + rolloutWrites.size();
  }

  @Override
  public long failedCallCount() {
    return 0;
  }
}
