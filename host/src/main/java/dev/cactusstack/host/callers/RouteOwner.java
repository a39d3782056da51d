package dev.cactusstack.host.callers;

import java.util.Objects;

/** Who schedules the requests of a route. Immutable and thread-safe. */
public sealed interface RouteOwner {

  /**
   * This host.
   *
   * @param scheduler schedules the requests
   */
  record Local(RouteScheduler scheduler) implements RouteOwner {
    /** Checks the scheduler. */
    public Local {
      Objects.requireNonNull(scheduler, "scheduler is null");
    }
  }

  /**
   * Another host.
   *
   * @param remoteHost how to reach it
   */
  record Remote(RemoteHost remoteHost) implements RouteOwner {
    /** Checks the hop. */
    public Remote {
      Objects.requireNonNull(remoteHost, "hop is null");
    }
  }
}
