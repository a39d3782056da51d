package dev.cactusstack.storage;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
import dev.cactusstack.http.HttpRequest;
import dev.cactusstack.http.HttpResponse;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.Address;
import dev.cactusstack.model.ConfigurationTable;
import dev.cactusstack.model.DataCentreRow;
import dev.cactusstack.model.Route;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** Client for the platform's HTTP interface. Thread-safe. */
public final class HttpPlatformClient implements TableStore, HostList {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int CLIENT_ERROR = 400;
  private static final int SERVER_ERROR = 500;

  private final HttpClient httpClient;
  private final String baseUrl;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param httpClient the client that sends the requests
   * @param address the address of the platform
   * @param timeout the timeout of one request
   */
  public HttpPlatformClient(HttpClient httpClient, Address address, Duration timeout) {
    this.httpClient = Objects.requireNonNull(httpClient, "httpClient is null");
    this.baseUrl = "http://" + Objects.requireNonNull(address, "address is null");
    this.timeout = Objects.requireNonNull(timeout, "timeout is null");
  }

  @Override
  public CompletableFuture<ConfigurationTable> readChanges(long revision) {
    return read("/v1/rows?after=" + revision).thenApply(RowCodec::decodeTable);
  }

  @Override
  public CompletableFuture<HostChanges> readHostChanges(long revision) {
    return read("/v1/hosts?after=" + revision).thenApply(RowCodec::decodeHosts);
  }

  private CompletableFuture<JsonNode> read(String path) {
    return httpClient
        .send(HttpRequest.get(URI.create(baseUrl + path), timeout))
        .thenApply(this::content);
  }

  private JsonNode content(HttpResponse response) {
    if (response.status() != OK) {
      throw new HttpException(true, "the platform responded with status " + response.status());
    }
    return Json.parse(response.body())
        .orElseThrow(() -> new HttpException(true, "the platform's response is not JSON"));
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<Route> routes, List<DataCentreRow> dataCentres) {
    byte[] body = RowCodec.encodeTransaction(routes, dataCentres);
    URI uri = URI.create(baseUrl + "/v1/transactions");
    return httpClient.send(HttpRequest.json("POST", uri, body, timeout)).thenApply(this::outcome);
  }

  private CommitOutcome outcome(HttpResponse response) {
    int s = response.status();
    if (s == OK) {
      return new CommitOutcome.Committed(content(response).path("revision").asLong());
    }
    if (s == CONFLICT) {
      return new CommitOutcome.VersionMismatch();
    }
    if (s >= CLIENT_ERROR && s < SERVER_ERROR) {
      return new CommitOutcome.Rejected("status " + s + ": " + response.bodyAsString());
    }
    // After a server error it is unknown whether the transaction was applied.
    throw new HttpException(true, "the platform responded with status " + s);
  }
}
