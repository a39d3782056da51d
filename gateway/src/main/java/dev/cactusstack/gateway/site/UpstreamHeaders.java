package dev.cactusstack.gateway.site;

import dev.cactusstack.decisions.placing.ReportedLoad;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;

/** Reads and writes the header fields that callers, hosts and upstreams exchange. Thread-safe. */
public interface UpstreamHeaders {
  /**
   * Returns the id of a request or of the request that an answer belongs to.
   *
   * @param headers a message's header fields
   * @return the id
   */
  Optional<String> requestId(HttpHeaders headers);

  /**
   * Writes which request an answer of the system's own belongs to.
   *
   * @param headers the answer's header fields
   * @param requestId the request's id
   */
  void setRequestId(HttpHeaders headers, String requestId);

  /**
   * Returns how long the caller waits.
   *
   * @param headers a request's header fields
   * @return milliseconds
   */
  OptionalLong deadlineMs(HttpHeaders headers);

  /**
   * Writes what an upstream needs to know.
   *
   * @param headers the header fields of a request to an upstream
   * @param deadlineMs time left, in milliseconds
   * @param upstream identity of the upstream that is meant
   */
  void addUpstreamHeaders(HttpHeaders headers, long deadlineMs, String upstream);

  /**
   * Tells whether an upstream says that it did not run the request.
   *
   * @param status the answer's status
   * @param headers the answer's header fields
   * @return true when the request did not run and never will
   */
  boolean reportsNotRun(int status, HttpHeaders headers);

  /**
   * Tells whether an answer is the one to a probe.
   *
   * @param headers the answer's header fields
   * @param upstream identity of the upstream that was probed
   * @return true when that upstream answers a probe
   */
  boolean isProbeResponse(HttpHeaders headers, String upstream);

  /**
   * Tells whether an answer bears the upstream's signature.
   *
   * @param headers the answer's header fields
   * @return true when it does
   */
  boolean isSigned(HttpHeaders headers);

  /**
   * Returns what an upstream says of its load.
   *
   * @param headers the answer's header fields
   * @return the figures
   */
  Optional<ReportedLoad> reportedLoad(HttpHeaders headers);
}
