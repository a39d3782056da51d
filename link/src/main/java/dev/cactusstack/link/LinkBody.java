package dev.cactusstack.link;

import dev.cactusstack.decisions.membership.ProbeMessage;
import dev.cactusstack.model.ConfigurationTable;
import java.util.Objects;

/** What one datagram asks or tells. Immutable and thread-safe. */
public sealed interface LinkBody {

  /**
   * A message of failure detection.
   *
   * @param probe the message
   */
  record Detection(ProbeMessage probe) implements LinkBody {
    /** Checks the message. */
    public Detection {
      Objects.requireNonNull(probe, "probe is null");
    }
  }

  /**
   * Asks for table rows.
   *
   * @param after the position to continue from
   */
  record ChangesQuery(ChangeCursor after) implements LinkBody {
    /** Checks the position. */
    public ChangesQuery {
      Objects.requireNonNull(after, "after is null");
    }
  }

  /**
   * Table rows in the order of their positions.
   *
   * @param rows the rows with the sender's table version
   * @param more whether rows remain
   */
  record ChangesPage(ConfigurationTable rows, boolean more) implements LinkBody {
    /** Checks the rows. */
    public ChangesPage {
      Objects.requireNonNull(rows, "rows is null");
    }
  }
}
