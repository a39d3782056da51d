package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.HttpRequest;
import dev.cactusstack.http.HttpResponse;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Address;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * Client for the operator API of the entry hosts. An edit is sent to the next host only if the
 * previous host cannot have received it. Thread-safe.
 */
final class OperatorApiClient {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration EDIT_TIMEOUT = Duration.ofSeconds(15);

  private final HttpClient httpClient;
  private final String scheme;
  private final List<Address> hosts;
  private final Optional<String> token;

  /** The response of an entry host. */
  record ApiResponse(int status, JsonNode body) {}

  OperatorApiClient(
      HttpClient httpClient, boolean tls, List<Address> hosts, Optional<String> token) {
    this.httpClient = httpClient;
    this.scheme = tls ? "https://" : "http://";
    this.hosts = List.copyOf(hosts);
    this.token = token;
  }

  /** Reads from the first host that responds. Throws {@link HttpException} if none does. */
  ApiResponse get(String path) {
    HttpException last = new HttpException(false, "no operator address is given");
    for (Address a : hosts) {
      try {
        return execute(HttpRequest.get(uri(a, path), READ_TIMEOUT));
      } catch (HttpException e) {
        // A read has no side effects, so the next host can be tried even if this one received it.
        last = new HttpException(false, String.valueOf(e.getMessage()));
      }
    }
    throw last;
  }

  /** Reads from one host; returns empty if it does not respond. */
  Optional<ApiResponse> get(Address host, String path) {
    try {
      return Optional.of(execute(HttpRequest.get(uri(host, path), READ_TIMEOUT)));
    } catch (HttpException e) {
      return Optional.empty();
    }
  }

  /** Sends an edit. Throws {@link HttpException} if no host responds. */
  ApiResponse post(String path, JsonNode body) {
    HttpException last = new HttpException(false, "no operator address is given");
    for (Address a : hosts) {
      try {
        return execute(HttpRequest.json("POST", uri(a, path), Json.toBytes(body), EDIT_TIMEOUT));
      } catch (HttpException e) {
        if (e.mayHaveBeenProcessed()) {
          throw e;
        }
        last = e;
      }
    }
    throw last;
  }

  private URI uri(Address a, String path) {
    return URI.create(scheme + a + path);
  }

  private ApiResponse execute(HttpRequest request) {
    HttpRequest authorizedRequest =
        token.map(t -> request.withHeader("Authorization", "Bearer " + t)).orElse(request);
    HttpResponse response;
    try {
      response = httpClient.send(authorizedRequest).join();
    } catch (CompletionException e) {
      throw HttpException.fromThrowable(e);
    }
    JsonNode body =
        Json.parse(response.body())
            .orElseThrow(
                () ->
                    new HttpException(true, "the response from " + request.uri() + " is not JSON"));
    return new ApiResponse(response.status(), body);
  }
}
