package dev.cactusstack.link;

import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.model.ConfigurationTable;
import java.util.Objects;

/** The body of a link message. Immutable and thread-safe. */
public sealed interface LinkBody {

  /**
   * A message of the failure detector.
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
   * Requests table rows.
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
   * A page of table rows in cursor order.
   *
   * @param rows the rows, with the table version of the sender
   * @param hasMore whether more rows follow
   */
  record ChangesPage(ConfigurationTable rows, boolean hasMore) implements LinkBody {
    /** Checks the rows. */
    public ChangesPage {
      Objects.requireNonNull(rows, "rows is null");
    }
  }
}
