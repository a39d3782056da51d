package dev.cactusstack.host.callers;

import java.util.Objects;

/** The host that schedules the requests of a route. Immutable and thread-safe. */
public sealed interface RouteOwner {

  /**
   * This host.
   *
   * @param scheduler the scheduler of the route
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
    /** Checks the host. */
    public Remote {
      Objects.requireNonNull(remoteHost, "hop is null");
    }
  }
}
