package dev.cactusstack.host.control;

import com.google.common.flogger.FluentLogger;
import dev.cactusstack.decisions.recovery.ChangePlan;
import dev.cactusstack.host.observe.Event;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.EditOutcome;
import dev.cactusstack.model.Problem;
import dev.cactusstack.model.ProblemKind;
import dev.cactusstack.storage.TableStore;
import dev.cactusstack.storage.TableStore.CommitOutcome;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Commits operators' changes in the platform's table, and finds out what became of a commit whose
 * answer was lost.
 *
 * <p>Invariants: accepted is said only of a change that is committed; not accepted only of one that
 * is not committed and never will be. Thread-safe.
 */
public final class EditService {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS = 5;
  private static final long RETRY_DELAY_MS = 100;

  private final TableStore store;
  private final ConfigurationController configuration;

  /**
   * Creates a service.
   *
   * @param store the platform's table
   * @param configuration puts accepted changes into force on this host
   */
  public EditService(TableStore store, ConfigurationController configuration) {
    this.store = Objects.requireNonNull(store, "store is null");
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
  }

  /**
   * Commits a change.
   *
   * @param plan the change
   * @return what became of it; never fails
   */
  public CompletableFuture<EditOutcome> commit(ChangePlan plan) {
    Objects.requireNonNull(plan, "plan is null");
    return new EditExecution(plan)
        .readAndCommit(1)
        .exceptionally(t -> new EditOutcome.Unknown(plan.operation(), internal(t)))
        .thenApply(o -> logged(plan, o));
  }

  private static Problem internal(Throwable t) {
    return new Problem(
        ProblemKind.INTERNAL, String.valueOf(t), "repeat the edit with the same operation id");
  }

  private static EditOutcome logged(ChangePlan plan, EditOutcome o) {
    LOG.atInfo().log(
        "%s",
        Event.named("edit")
            .with("operation", plan.operation())
            .with("outcome", o.getClass().getSimpleName()));
    return o;
  }

  /** The progress of one change. Its steps run one after the other. */
  private final class EditExecution {
    private final ChangePlan plan;

    /** A commit whose answer was lost, and that may still take effect. */
    private ChangePlan.Step.@Nullable Commit unconfirmedCommit;

    EditExecution(ChangePlan plan) {
      this.plan = plan;
    }

    CompletableFuture<EditOutcome> readAndCommit(int tries) {
      ConfigurationTable known = configuration.inForce();
      return store
          .readChanges(known.version())
          .handle(
              (rows, t) ->
                  t == null ? decide(known.merge(rows), tries) : retryLater(tries, HttpException.from(t)))
          .thenCompose(f -> f);
    }

    private CompletableFuture<EditOutcome> decide(ConfigurationTable now, int tries) {
      configuration.applyAsync(now);
      ChangePlan.Step.Commit earlier = unconfirmedCommit;
      if (earlier == null) {
        return startCommit(now, tries);
      }
      return switch (earlier.statusIn(now)) {
        case APPLIED ->
            done(new EditOutcome.Accepted(plan.appliedVersion(now).orElse(now.version())));
        case NOT_APPLIED -> {
          unconfirmedCommit = null;
          yield startCommit(now, tries);
        }
        // Only one of two commits that expect the same versions can take effect.
        case PENDING -> commit(earlier, now, tries);
        case UNKNOWN -> done(unknown("the row was edited many times since, and no longer tells"));
      };
    }

    private CompletableFuture<EditOutcome> startCommit(ConfigurationTable now, int tries) {
      ChangePlan.Step step = plan.nextStep(now);
      return step instanceof ChangePlan.Step.Commit c
          ? commit(c, now, tries)
          : done(((ChangePlan.Step.Done) step).outcome());
    }

    private CompletableFuture<EditOutcome> commit(
        ChangePlan.Step.Commit c, ConfigurationTable base, int tries) {
      return store
          .commit(c.routes(), c.dataCentres())
          .handle(
              (o, t) ->
                  t == null ? committed(c, base, o, tries) : failed(c, HttpException.from(t), tries))
          .thenCompose(f -> f);
    }

    private CompletableFuture<EditOutcome> committed(
        ChangePlan.Step.Commit commit, ConfigurationTable base, CommitOutcome o, int tries) {
      if (o instanceof CommitOutcome.Committed c) {
        // The platform may go down before the next read. The rows are put into force from the
        // commit
        // itself, unless another edit came between, whose rows this host has not seen.
        if (c.revision() == base.version() + 1) {
          configuration.applyAsync(commit.committedAt(c.revision()));
        }
        configuration.refresh();
        return done(new EditOutcome.Accepted(c.revision()));
      }
      if (o instanceof CommitOutcome.Rejected r && unconfirmedCommit == null) {
        return done(notAccepted("the table service refused the edit: " + r.reason()));
      }
      return retryLater(tries, new HttpException(unconfirmedCommit != null, "another edit was committed meanwhile"));
    }

    private CompletableFuture<EditOutcome> failed(
        ChangePlan.Step.Commit c, HttpException f, int tries) {
      if (f.mayHaveBeenProcessed()) {
        unconfirmedCommit = c;
      }
      return retryLater(tries, f);
    }

    private CompletableFuture<EditOutcome> retryLater(int tries, HttpException cause) {
      if (tries >= MAX_ATTEMPTS) {
        String reason = String.valueOf(cause.getMessage());
        return done(unconfirmedCommit != null ? unknown(reason) : notAccepted(reason));
      }
      Executor later =
          CompletableFuture.delayedExecutor(RETRY_DELAY_MS * tries, TimeUnit.MILLISECONDS);
      return CompletableFuture.supplyAsync(() -> readAndCommit(tries + 1), later)
          .thenCompose(f -> f);
    }

    private EditOutcome unknown(String reason) {
      return new EditOutcome.Unknown(
          plan.operation(),
          new Problem(
              ProblemKind.OUTCOME_UNKNOWN,
              reason,
              "repeat the edit with --operation "
                  + plan.operation()
                  + "; that cannot apply it twice"));
    }

    private EditOutcome notAccepted(String reason) {
      return new EditOutcome.NotAccepted(
          new Problem(
              ProblemKind.PLATFORM_UNAVAILABLE,
              reason,
              "nothing was changed; repeat the edit later"));
    }

    private CompletableFuture<EditOutcome> done(EditOutcome o) {
      return CompletableFuture.completedFuture(o);
    }
  }
}
