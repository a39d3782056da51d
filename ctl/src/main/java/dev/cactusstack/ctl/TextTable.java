package dev.cactusstack.ctl;

import java.util.ArrayList;
import java.util.List;

/** Aligns columns of text. Stateless. */
final class TextTable {
  private static final String COLUMN_SEPARATOR = "  ";

  private TextTable() {}

  static List<String> align(List<List<String>> rows) {
    var widths = new ArrayList<Integer>();
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        if (widths.size() <= i) {
          widths.add(0);
        }
        widths.set(i, Math.max(widths.get(i), row.get(i).length()));
      }
    }
    return rows.stream().map(r -> line(r, widths)).toList();
  }

  private static String line(List<String> row, List<Integer> widths) {
    var b = new StringBuilder();
    for (int i = 0; i < row.size(); i++) {
      b.append(row.get(i)).append(" ".repeat(widths.get(i) - row.get(i).length())).append(COLUMN_SEPARATOR);
    }
    return b.toString().stripTrailing();
  }
}
