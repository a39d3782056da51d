package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.site.ConfigurationChange;
import dev.cactusstack.gateway.site.SiteStore;
import dev.cactusstack.gateway.site.StoreException;
import dev.cactusstack.gateway.site.UpstreamChange;
import dev.cactusstack.model.site.HostRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A store whose answers a test gives one by one. */
final class FakeStore implements SiteStore {
  final List<CompletableFuture<ConfigurationChange>> reads = new ArrayList<>();
  final List<CompletableFuture<ConfigurationChange>> watches = new ArrayList<>();
  final List<Long> watchedAfter = new ArrayList<>();
  final List<CompletableFuture<UpstreamChange>> upstreamReads = new ArrayList<>();
  final List<Long> upstreamsAfter = new ArrayList<>();

  static StoreException failure(StoreException.Kind kind) {
    return new StoreException(kind, "test");
  }

  private static <T> CompletableFuture<T> open(List<CompletableFuture<T>> calls) {
    var call = new CompletableFuture<T>();
    calls.add(call);
    return call;
  }

  @Override
  public CompletableFuture<ConfigurationChange> readConfiguration() {
    return open(reads);
  }

  @Override
  public CompletableFuture<ConfigurationChange> watchConfiguration(long after, long waitMs) {
    watchedAfter.add(after);
    return open(watches);
  }

  @Override
  public CompletableFuture<UpstreamChange> readUpstreams() {
    upstreamsAfter.add(-1L);
    return open(upstreamReads);
  }

  @Override
  public CompletableFuture<UpstreamChange> readUpstreamChanges(long after) {
    upstreamsAfter.add(after);
    return open(upstreamReads);
  }

  @Override
  public CompletableFuture<List<HostRegistration>> readHosts() {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<HostRegistration> register(HostRegistration entry) {
    return new CompletableFuture<>();
  }

  @Override
  public long callCount() {
    return reads.size() + watches.size() + upstreamReads.size();
  }

  @Override
  public long failedCallCount() {
    return 0;
  }
}
