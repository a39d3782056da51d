package dev.cactusstack.link;

import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.model.ConfigurationTable;
import java.util.Objects;

/** What one datagram asks or tells. Immutable and thread-safe. */
public sealed interface LinkBody {

  /**
   * A message of failure detection.
   *
   * @param message the message
   */
  record FailureDetection(ProbeMessage message) implements LinkBody {
    /** Checks the message. */
    public FailureDetection {
      Objects.requireNonNull(message, "probe is null");
    }
  }

  /**
   * Asks for table rows.
   *
   * @param cursor the position to continue from
   */
  record ChangesQuery(ChangeCursor cursor) implements LinkBody {
    /** Checks the position. */
    public ChangesQuery {
      Objects.requireNonNull(cursor, "after is null");
    }
  }

  /**
   * Table rows in the order of their positions.
   *
   * @param rows the rows with the sender's table version
   * @param hasMore whether rows remain
   */
  record ChangesPage(ConfigurationTable rows, boolean hasMore) implements LinkBody {
    /** Checks the rows. */
    public ChangesPage {
      Objects.requireNonNull(rows, "rows is null");
    }
  }
}
