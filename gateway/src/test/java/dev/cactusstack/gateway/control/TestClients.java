package dev.cactusstack.gateway.control;

import dev.cactusstack.gateway.net.HttpClient;
import dev.cactusstack.gateway.net.HttpClientSettings;

/** HTTP clients for tests that send no requests. */
final class TestClients {
  private TestClients() {}

  static HttpClient unused(VirtualTimeLoop time) {
    return new HttpClient(
        time.loop(), new HttpClientSettings(100, 100, false, 1_000, 1_000), time::nowMs);
  }
}
