package dev.cactusstack.host.operators;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** The files of the operators' page. Immutable and thread-safe. */
enum PageFile {
  HTML("/", "table.html", "text/html; charset=utf-8"),
  SCRIPT("/table.js", "table.js", "text/javascript; charset=utf-8"),
  STYLE("/table.css", "table.css", "text/css; charset=utf-8");

  private final String path;
  private final String type;
  private final String text;

  PageFile(String path, String resource, String type) {
    this.path = path;
    this.type = type;
    this.text = read(resource);
  }

  private static String read(String resource) {
    try (InputStream in = PageFile.class.getResourceAsStream(resource)) {
      if (in == null) {
        throw new IllegalStateException("resource not found: " + resource);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Optional<PageFile> at(String path) {
    for (PageFile f : values()) {
      if (f.path.equals(path)) {
        return Optional.of(f);
      }
    }
    return Optional.empty();
  }

  String type() {
    return type;
  }

  String text() {
    return text;
  }
}
