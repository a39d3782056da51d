package dev.cactusstack.host.control;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.decisions.membership.Member;
import dev.cactusstack.decisions.routing.RendezvousHash;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.host.observe.Ticker;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.link.ChangeCursor;
import dev.cactusstack.link.LinkBody;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.HostId;
import dev.cactusstack.storage.TableStore;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the configuration in force. A few readers in each data centre read the platform's
 * table; every host fetches newer rows from hosts that have them.
 *
 * <p>Invariants: the version in force never decreases, a row is replaced only by one with a higher
 * version, and a version is announced only after the listeners use it. Confined to the control
 * loop, except the public methods.
 */
public final class ConfigurationController {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int READERS_PER_DATA_CENTRE = 2;

  /**
   * Hosts that are not readers read the table less often by this factor, in case the readers cannot
   * reach it.
   */
  private static final int NON_READER_INTERVAL_FACTOR = 10;

  /**
   * A page must fit the datagram that a receiver accepts, even if each row carries all its
   * operation ids.
   */
  private static final int MAX_ROWS_PER_PAGE = 3;

  private static final long PULL_TIMEOUT_MS = 200;

  private final TableStore store;
  private final MembershipController members;
  private final LinkSender sender;
  private final Executor loop;
  private final Ticker ticker;
  private final long readIntervalMs;
  private final List<Consumer<ConfigurationTable>> listeners = new ArrayList<>();
  private final Map<Address, Transfer> transfers = new HashMap<>();
  private final AtomicLong newestVersion = new AtomicLong();
  private volatile ConfigurationTable inForce = ConfigurationTable.EMPTY;
  private volatile boolean storeReachable;
  private boolean reading;
  private long nextReadAtMs;
  private @Nullable Pull pull;

  /** An unanswered query. */
  private record Pull(Address from, long sentAtMs) {}

  /**
   * The rows received from one host, page by page.
   *
   * <p>A page does not name the query that it answers. The cursor therefore only moves forward,
   * also when a query is repeated or another host is queried in between: a late page then overlaps
   * with the rows already received, and leaves none out.
   */
  private record Transfer(ChangeCursor cursor, ConfigurationTable rows) {}

  /**
   * Creates a controller without a configuration.
   *
   * @param store the platform's table
   * @param members the membership controller
   * @param sender sends messages to other hosts
   * @param loop the control loop
   * @param ticker the clock
   * @param readIntervalMs the interval in milliseconds at which a reader reads the table
   */
  public ConfigurationController(
      TableStore store,
      MembershipController members,
      LinkSender sender,
      Executor loop,
      Ticker ticker,
      long readIntervalMs) {
    this.store = Objects.requireNonNull(store, "store is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.sender = Objects.requireNonNull(sender, "sender is null");
    this.loop = Objects.requireNonNull(loop, "loop is null");
    this.ticker = Objects.requireNonNull(ticker, "ticker is null");
    this.readIntervalMs = readIntervalMs;
  }

  /**
   * Returns the configuration in force. Thread-safe.
   *
   * @return the table
   */
  public ConfigurationTable inForce() {
    return inForce;
  }

  /**
   * Returns the newest version that this host knows of, which may not be in force yet. Thread-safe.
   *
   * @return the version
   */
  public long newestVersion() {
    return Math.max(newestVersion.get(), inForce.version());
  }

  /**
   * Records a version that contains a committed edit. Thread-safe.
   *
   * @param version the version
   */
  void recordCommitted(long version) {
    newestVersion.accumulateAndGet(version, Math::max);
  }

  /**
   * Returns whether the last read of the platform's table succeeded. Thread-safe.
   *
   * @return true if it succeeded
   */
  public boolean isStoreReachable() {
    return storeReachable;
  }

  /** Schedules a read of the platform's table, for example after an accepted edit. Thread-safe. */
  public void refresh() {
    loop.execute(
        () -> {
          nextReadAtMs = 0;
          tick();
        });
  }

  /**
   * Applies rows that this host has just read or committed. Thread-safe.
   *
   * @param rows the rows
   */
  public void applyAsync(ConfigurationTable rows) {
    Objects.requireNonNull(rows, "rows is null");
    loop.execute(() -> apply(rows, "operator"));
  }

  void addListener(Consumer<ConfigurationTable> listener) {
    listeners.add(listener);
  }

  void tick() {
    long now = ticker.millis();
    if (!reading && now >= nextReadAtMs) {
      read(now);
    }
    pullIfBehind(now);
  }

  private void read(long now) {
    reading = true;
    nextReadAtMs =
        now + (isReader() ? readIntervalMs : readIntervalMs * NON_READER_INTERVAL_FACTOR);
    store
        .readChanges(inForce.version())
        .whenComplete((rows, t) -> loop.execute(() -> finishRead(rows, t)));
  }

  private void finishRead(@Nullable ConfigurationTable rows, @Nullable Throwable t) {
    reading = false;
    boolean ok = rows != null;
    if (ok != storeReachable) {
      storeReachable = ok;
      LOG.atInfo().log(
          "%s",
          Event.named("table_service")
              .with("reachable", ok)
              .with(
                  "reason",
                  t == null ? "" : String.valueOf(HttpException.fromThrowable(t).getMessage())));
    }
    if (rows != null) {
      apply(rows, "table");
    } else {
      nextReadAtMs = Math.min(nextReadAtMs, ticker.millis() + readIntervalMs);
    }
  }

  /**
   * Returns whether this host is a reader. Without a configuration every host is; afterwards only
   * the highest-ranked hosts of each data centre are.
   */
  private boolean isReader() {
    if (inForce.version() == 0) {
      return true;
    }
    Member self = members.self();
    List<HostId> here =
        members.members().values().stream()
            .filter(m -> m.isServing() && m.info().dataCentre().equals(self.info().dataCentre()))
            .map(Member::id)
            .toList();
    return RendezvousHash.ranked("table-reader", here, READERS_PER_DATA_CENTRE).contains(self.id());
  }

  private void pullIfBehind(long now) {
    Pull p = pull;
    if (p != null && now - p.sentAtMs < PULL_TIMEOUT_MS) {
      return;
    }
    pull = null;
    findNewerHost().ifPresent(this::requestPage);
  }

  private Optional<Address> findNewerHost() {
    SortedMap<HostId, Member> all = members.members();
    Member self = members.self();
    return all.values().stream()
        .filter(m -> !m.id().equals(self.id()))
        .filter(m -> m.info().configVersion() > inForce.version())
        .min(
            Comparator.<Member>comparingInt(m -> m.status().ordinal())
                .thenComparing(m -> !m.info().dataCentre().equals(self.info().dataCentre()))
                .thenComparing(m -> -m.info().configVersion()))
        .map(m -> m.info().link());
  }

  private void requestPage(Address from) {
    pull = new Pull(from, ticker.millis());
    ChangeCursor after = transferFrom(from).cursor;
    sender.send(from, new LinkMessage(members.self(), List.of(), new LinkBody.ChangesQuery(after)));
  }

  private Transfer transferFrom(Address from) {
    return transfers.computeIfAbsent(
        from,
        a -> new Transfer(ChangeCursor.afterVersion(inForce.version()), ConfigurationTable.EMPTY));
  }

  void sendPage(Address from, LinkBody.ChangesQuery q) {
    LinkBody.ChangesPage page = q.cursor().readPage(inForce, MAX_ROWS_PER_PAGE);
    sender.send(from, new LinkMessage(members.self(), List.of(), page));
  }

  void receivePage(Address from, LinkBody.ChangesPage page) {
    Pull p = pull;
    if (p == null || !p.from.equals(from)) {
      return;
    }
    Transfer t = transferFrom(from);
    boolean outdated = page.rows().version() < t.rows.version();
    ChangeCursor last = ChangeCursor.ofLastRow(page.rows());
    if (outdated || page.hasMore() && last.compareTo(t.cursor) <= 0) {
      return;
    }
    ConfigurationTable rows = t.rows.merge(page.rows());
    if (page.hasMore()) {
      transfers.put(from, new Transfer(last, rows));
      requestPage(from);
    } else {
      pull = null;
      apply(rows, "host");
    }
  }

  private void apply(ConfigurationTable rows, String source) {
    ConfigurationTable before = inForce;
    ConfigurationTable after = before.merge(rows);
    if (after.version() <= before.version()) {
      return;
    }
    inForce = after;
    transfers.values().removeIf(t -> t.rows.version() <= after.version());
    listeners.forEach(l -> l.accept(after));
    members.announceVersion(after.version());
    LOG.atInfo().log(
        "%s",
        Event.named("configuration_in_force")
            .with("version", after.version())
            .with("before", before.version())
            .with("source", source));
  }
}
