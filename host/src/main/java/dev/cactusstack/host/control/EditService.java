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
 * Commits operators' changes to the platform's table, and determines the outcome of a commit whose
 * response was lost.
 *
 * <p>Invariants: a change is reported as accepted only when it is committed, and as not accepted
 * only when it is not committed and never will be. Thread-safe.
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
   * @param configuration applies accepted changes on this host
   */
  public EditService(TableStore store, ConfigurationController configuration) {
    this.store = Objects.requireNonNull(store, "store is null");
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
  }

  /**
   * Commits a change.
   *
   * @param plan the change
   * @return the outcome; never completes exceptionally
   */
  public CompletableFuture<EditOutcome> commit(ChangePlan plan) {
    Objects.requireNonNull(plan, "plan is null");
    return new EditExecution(plan)
        .readAndCommit(1)
        .exceptionally(t -> new EditOutcome.Unknown(plan.operation(), internal(t)))
        .thenApply(o -> recorded(plan, o));
  }

  private static Problem internal(Throwable t) {
    return new Problem(
        ProblemKind.INTERNAL, String.valueOf(t), "repeat the edit with the same operation id");
  }

  private EditOutcome recorded(ChangePlan plan, EditOutcome o) {
    if (o instanceof EditOutcome.Accepted a) {
      // The control loop may apply the rows only after the operator's next query.
      configuration.recordCommitted(a.version());
    }
    LOG.atInfo().log(
        "%s",
        Event.named("edit")
            .with("operation", plan.operation())
            .with("outcome", o.getClass().getSimpleName()));
    return o;
  }

  /** The execution of one change. Its steps run sequentially. */
  private final class EditExecution {
    private final ChangePlan plan;

    /** A commit whose response was lost and that may still take effect. */
    private ChangePlan.Step.@Nullable Commit unconfirmedCommit;

    EditExecution(ChangePlan plan) {
      this.plan = plan;
    }

    CompletableFuture<EditOutcome> readAndCommit(int attempt) {
      ConfigurationTable current = configuration.inForce();
      return store
          .readChanges(current.version())
          .handle(
              (rows, t) ->
                  t == null
                      ? decide(current.merge(rows), attempt)
                      : retryLater(attempt, HttpException.fromThrowable(t)))
          .thenCompose(f -> f);
    }

    private CompletableFuture<EditOutcome> decide(ConfigurationTable now, int attempt) {
      configuration.applyAsync(now);
      ChangePlan.Step.Commit unconfirmed = unconfirmedCommit;
      if (unconfirmed == null) {
        return startCommit(now, attempt);
      }
      return switch (unconfirmed.statusIn(now)) {
        case APPLIED ->
            done(new EditOutcome.Accepted(plan.appliedVersion(now).orElse(now.version())));
        case NOT_APPLIED -> {
          unconfirmedCommit = null;
          yield startCommit(now, attempt);
        }
        // Committing again is safe: of two commits that expect the same versions, only one can take
        // effect.
        case PENDING -> commit(unconfirmed, now, attempt);
        case UNKNOWN ->
            done(unknown("the row was edited too often since to determine the outcome"));
      };
    }

    private CompletableFuture<EditOutcome> startCommit(ConfigurationTable now, int attempt) {
      ChangePlan.Step step = plan.nextStep(now);
      return step instanceof ChangePlan.Step.Commit c
          ? commit(c, now, attempt)
          : done(((ChangePlan.Step.Done) step).outcome());
    }

    private CompletableFuture<EditOutcome> commit(
        ChangePlan.Step.Commit c, ConfigurationTable base, int attempt) {
      return store
          .commit(c.routes(), c.dataCentres())
          .handle(
              (o, t) ->
                  t == null
                      ? committed(c, base, o, attempt)
                      : failed(c, HttpException.fromThrowable(t), attempt))
          .thenCompose(f -> f);
    }

    private CompletableFuture<EditOutcome> committed(
        ChangePlan.Step.Commit commit, ConfigurationTable base, CommitOutcome o, int attempt) {
      if (o instanceof CommitOutcome.Committed c) {
        // Applies the committed rows at once, because the platform may become unavailable before
        // the next read. Skipped when another edit was committed in between, because this host has
        // not seen its rows.
        if (c.revision() == base.version() + 1) {
          configuration.applyAsync(commit.committedAt(c.revision()));
        }
        configuration.refresh();
        return done(new EditOutcome.Accepted(c.revision()));
      }
      if (o instanceof CommitOutcome.Rejected r && unconfirmedCommit == null) {
        return done(notAccepted("the table service refused the edit: " + r.reason()));
      }
      return retryLater(
          attempt,
          new HttpException(unconfirmedCommit != null, "another edit was committed meanwhile"));
    }

    private CompletableFuture<EditOutcome> failed(
        ChangePlan.Step.Commit c, HttpException f, int attempt) {
      if (f.mayHaveBeenProcessed()) {
        unconfirmedCommit = c;
      }
      return retryLater(attempt, f);
    }

    private CompletableFuture<EditOutcome> retryLater(int attempt, HttpException cause) {
      if (attempt >= MAX_ATTEMPTS) {
        String reason = String.valueOf(cause.getMessage());
        return done(unconfirmedCommit != null ? unknown(reason) : notAccepted(reason));
      }
      Executor afterDelay =
          CompletableFuture.delayedExecutor(RETRY_DELAY_MS * attempt, TimeUnit.MILLISECONDS);
      return CompletableFuture.supplyAsync(() -> readAndCommit(attempt + 1), afterDelay)
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
