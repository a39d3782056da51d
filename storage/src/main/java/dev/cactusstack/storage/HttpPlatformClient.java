package dev.cactusstack.storage;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusstack.http.HttpRequest;
import dev.cactusstack.http.HttpClient;
import dev.cactusstack.http.HttpException;
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

/** The platform over its HTTP interface. Thread-safe. */
public final class HttpPlatformClient implements TableStore, HostList {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int CLIENT_ERROR = 400;
  private static final int SERVER_ERROR = 500;

  private final HttpClient caller;
  private final String base;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller sends the requests
   * @param address where the platform serves
   * @param timeout how long one request may take
   */
  public HttpPlatformClient(HttpClient caller, Address address, Duration timeout) {
    this.caller = Objects.requireNonNull(caller, "caller is null");
    this.base = "http://" + Objects.requireNonNull(address, "address is null");
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
    return caller.send(HttpRequest.get(URI.create(base + path), timeout)).thenApply(this::content);
  }

  private JsonNode content(HttpResponse reply) {
    if (reply.status() != OK) {
      throw new HttpException(true, "the platform answered status " + reply.status());
    }
    return Json.parse(reply.body())
        .orElseThrow(() -> new HttpException(true, "the platform's answer is not JSON"));
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<Route> routes, List<DataCentreRow> dataCentres) {
    byte[] body = RowCodec.encodeTransaction(routes, dataCentres);
    URI uri = URI.create(base + "/v1/transactions");
    return caller.send(HttpRequest.json("POST", uri, body, timeout)).thenApply(this::outcome);
  }

  private CommitOutcome outcome(HttpResponse reply) {
    int s = reply.status();
    if (s == OK) {
      return new CommitOutcome.Committed(content(reply).path("revision").asLong());
    }
    if (s == CONFLICT) {
      return new CommitOutcome.VersionMismatch();
    }
    if (s >= CLIENT_ERROR && s < SERVER_ERROR) {
      return new CommitOutcome.Rejected("status " + s + ": " + reply.bodyAsString());
    }
    // A server error does not say whether the transaction took effect.
    throw new HttpException(true, "the platform answered status " + s);
  }
}
