package dev.cactusstack.ctl;

import java.util.Optional;

/**
 * Tells in words why a host refused a request, where the reasons are easily mistaken for each
 * other: an API key, a quota, or a lack of free slots. Stateless.
 */
final class RefusalCause {
  private RefusalCause() {}

  /**
   * Explains an event.
   *
   * @param event an event of the request
   * @return one line; empty if the event is no refusal of one of these kinds
   */
  static Optional<String> of(LogLine event) {
    if (!event.is("refused")) {
      return Optional.empty();
    }
    return switch (event.field("why")) {
      case "unauthorized" -> Optional.of(cause(event, 401, unauthorized(event)));
      case "key-unchecked" ->
          Optional.of(
              cause(
                  event,
                  503,
                  "the API key was unknown to a host that was out of touch with the store, so that"
                      + " the key may be valid"));
      case "over-quota" -> Optional.of(cause(event, 429, overQuota(event)));
      case "no-room" -> Optional.of(cause(event, 503, noRoom(event)));
      default -> Optional.empty();
    };
  }

  private static String cause(LogLine event, int status, String text) {
    return "cause host="
        + event.host()
        + " status="
        + status
        + " text="
        + CommandResult.quote(text);
  }

  private static String unauthorized(LogLine event) {
    return event.field("workspace").isEmpty()
        ? "the API key was missing, malformed, unknown or claimed by several workspaces"
        : "the API key of workspace " + event.field("workspace") + " was revoked while it waited";
  }

  private static String overQuota(LogLine event) {
    return "workspace "
        + event.field("workspace")
        + " was over its quota of "
        + event.field("rate")
        + " requests a second and a burst of "
        + event.field("burst")
        + ", over all hosts; upstreams may have had room"
        + retry(event);
  }

  private static String noRoom(LogLine event) {
    String workspace = event.field("workspace");
    String quota =
        workspace.isEmpty() ? "" : ", although workspace " + workspace + " was within its quota";
    return "no upstream had a free slot in time" + quota + retry(event);
  }

  private static String retry(LogLine event) {
    return event.field("retry_ms").isEmpty()
        ? ""
        : "; the caller was told to wait " + event.field("retry_ms") + " ms";
  }
}
