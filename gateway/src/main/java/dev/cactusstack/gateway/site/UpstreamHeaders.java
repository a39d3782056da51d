package dev.cactusstack.gateway.site;

import dev.cactusstack.decisions.placing.ReportedLoad;
import dev.cactusstack.model.site.ApiKeyDigest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** Reads and writes the header fields that callers, hosts and upstreams exchange. Thread-safe. */
public interface UpstreamHeaders {
  /**
   * Returns the id of a request.
   *
   * @param headers the request's header fields
   * @return the id
   */
  Optional<String> requestId(HttpHeaders headers);

  /**
   * Returns the id of the request that a response belongs to.
   *
   * @param headers the response's header fields
   * @return the values of all fields that hold it, which need not agree
   */
  List<String> respondedIds(HttpHeaders headers);

  /**
   * Sets the request id on a response that this host creates itself.
   *
   * @param headers the response's header fields
   * @param requestId the request's id
   */
  void setRequestId(HttpHeaders headers, String requestId);

  /**
   * Returns the caller's timeout.
   *
   * @param headers a request's header fields
   * @return the timeout in milliseconds, if the request has one
   */
  OptionalLong deadlineMs(HttpHeaders headers);

  /**
   * Adds the header fields that an upstream needs to a request.
   *
   * @param headers the header fields of a request to an upstream
   * @param deadlineMs time until the deadline, in milliseconds
   * @param upstreamId identity of the upstream that the request is sent to
   */
  void addUpstreamHeaders(HttpHeaders headers, long deadlineMs, String upstreamId);

  /**
   * Returns the API key of a request.
   *
   * @param headers the request's header fields
   * @return the key's digest; empty if there is no key, more than one, or a malformed one
   */
  Optional<ApiKeyDigest> apiKey(HttpHeaders headers);

  /**
   * Removes the API key and every workspace name that the caller has set from a request, and sets
   * the name of its workspace.
   *
   * @param headers the header fields of a request to an upstream
   * @param workspace the name of the workspace; empty if the request has none
   */
  void replaceCredentials(HttpHeaders headers, String workspace);

  /**
   * Returns whether an upstream reports that it did not run the request.
   *
   * @param status the response's status
   * @param headers the response's header fields
   * @return true if the request has not run and never will
   */
  boolean reportsNotRun(int status, HttpHeaders headers);

  /**
   * Returns whether a response answers a probe of an upstream.
   *
   * @param headers the response's header fields
   * @param upstreamId identity of the upstream that was probed
   * @return true if it is a probe response of that upstream
   */
  boolean isProbeResponse(HttpHeaders headers, String upstreamId);

  /**
   * Returns whether a response carries the upstream's signature.
   *
   * @param headers the response's header fields
   * @return true if it is signed
   */
  boolean isSigned(HttpHeaders headers);

  /**
   * Returns whether an upstream says that it leaves.
   *
   * @param headers the response's header fields
   * @return true if it wants no new requests
   */
  boolean isLeaving(HttpHeaders headers);

  /**
   * Returns how long an upstream that turned a request away wants no further requests.
   *
   * @param headers the response's header fields
   * @return the time in seconds, not a number if it is unreadable; empty if the upstream does not
   *     say
   */
  OptionalDouble holdOffSeconds(HttpHeaders headers);

  /**
   * Returns the rate of requests that an upstream takes from all hosts together.
   *
   * @param headers the response's header fields
   * @return the requests a second as the upstream states them, not a number if that is unreadable;
   *     empty if the upstream does not say
   */
  OptionalDouble requestsPerSecond(HttpHeaders headers);

  /**
   * Returns the load that an upstream reports.
   *
   * @param headers the response's header fields
   * @return the reported load, if present
   */
  Optional<ReportedLoad> reportedLoad(HttpHeaders headers);
}
