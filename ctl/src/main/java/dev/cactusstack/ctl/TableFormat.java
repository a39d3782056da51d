package dev.cactusstack.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.cactusstack.http.Json;
import dev.cactusstack.model.RouteColumn;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** How the table is printed. Stateless and thread-safe. */
enum TableFormat {
  /** Aligned columns for reading. */
  TEXT {
    @Override
    List<String> render(long version, List<TableRow> rows) {
      var lines = new ArrayList<String>();
      lines.add("version " + version);
      var cells = new ArrayList<List<String>>();
      cells.add(header());
      rows.forEach(r -> cells.add(cells(r)));
      lines.addAll(TextTable.align(cells));
      return lines;
    }
  },
  /** One JSON document. */
  JSON {
    @Override
    List<String> render(long version, List<TableRow> rows) {
      ObjectNode n = Json.newObject().put("version", version);
      ArrayNode list = n.putArray("rows");
      rows.forEach(r -> list.add(r.toJson()));
      return List.of(new String(Json.toBytes(n), StandardCharsets.UTF_8));
    }
  },
  /** Comma-separated values for a spreadsheet. */
  CSV {
    @Override
    List<String> render(long version, List<TableRow> rows) {
      var lines = new ArrayList<String>();
      lines.add(String.join(",", header()));
      rows.forEach(r -> lines.add(String.join(",", cells(r))));
      return lines;
    }
  };

  abstract List<String> render(long version, List<TableRow> rows);

  static Optional<TableFormat> ofLabel(String label) {
    for (TableFormat f : values()) {
      if (f.name().toLowerCase(Locale.ROOT).equals(label)) {
        return Optional.of(f);
      }
    }
    return Optional.empty();
  }

  static List<String> header() {
    var h = new ArrayList<String>(List.of("service", "data_centre"));
    for (RouteColumn c : RouteColumn.values()) {
      h.add(c.label());
    }
    h.add("version");
    return h;
  }

  private static List<String> cells(TableRow r) {
    var c = new ArrayList<String>(List.of(r.key().service().value(), r.key().dataCentre().value()));
    r.values().values().forEach(v -> c.add(v.toString()));
    c.add(Long.toString(r.version()));
    return c;
  }
}
