package dev.cactusstack.gateway.callers;

import dev.cactusstack.decisions.workspaces.WorkspaceKeys;
import dev.cactusstack.gateway.site.UpstreamHeaders;
import dev.cactusstack.model.site.RouteRule;
import dev.cactusstack.model.site.Workspace;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Checks the API keys of requests against the configuration in force at the time of the check.
 * Keeps nothing, so that a revoked key is unknown from the next check on. Confined to the event
 * loop.
 */
public final class CallerAuthentication {
  private final Supplier<WorkspaceKeys> keys;
  private final BooleanSupplier mayBeStale;
  private final UpstreamHeaders wire;

  /**
   * Creates an authentication.
   *
   * @param keys supplies the keys in force
   * @param mayBeStale whether other hosts may have newer keys
   * @param wire reads the key of a request
   */
  public CallerAuthentication(
      Supplier<WorkspaceKeys> keys, BooleanSupplier mayBeStale, UpstreamHeaders wire) {
    this.keys = keys;
    this.mayBeStale = mayBeStale;
    this.wire = wire;
  }

  /**
   * Returns whether the site has workspaces.
   *
   * @return true if no header field with a key may reach an upstream
   */
  boolean isActive() {
    return keys.get().areRequired();
  }

  /**
   * Checks a request.
   *
   * @param route the route that it matches
   * @param headers its header fields
   * @return whether it may be sent, and for which workspace
   */
  Verdict check(RouteRule route, HttpHeaders headers) {
    WorkspaceKeys inForce = keys.get();
    if (!inForce.areRequired()) {
      return Verdict.NO_WORKSPACE;
    }
    Optional<Workspace> workspace = wire.apiKey(headers).flatMap(inForce::find);
    return new Verdict(workspace.isPresent() || route.isPublic(), workspace);
  }

  /**
   * Returns why a request is refused whose key was not known when it arrived. Its key may be newer
   * than the configuration of this host.
   *
   * @return that the key is invalid, or that this host can't tell
   */
  Refusal unknownKeyRefusal() {
    return mayBeStale.getAsBoolean() ? Refusal.KEY_UNCHECKED : Refusal.UNAUTHORIZED;
  }

  /**
   * The result of a check.
   *
   * @param allowed whether the request may be sent
   * @param workspace the workspace of the request; empty if it is not allowed or needs none
   */
  record Verdict(boolean allowed, Optional<Workspace> workspace) {
    private static final Verdict NO_WORKSPACE = new Verdict(true, Optional.empty());
  }
}
