package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
  private Http() {}

  /** A message: its first line, its header fields (names in lower case) and its body. */
  static final class Message {
    String start = "";
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }
  }

  /** Reads the start line and the header fields; returns null if the connection ended before. */
  static Message readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Message m = new Message();
    m.start = line;
    while (true) {
      line = readLine(in);
      if (line == null) {
        throw new EOFException("ended inside the head");
      }
      if (line.isEmpty()) {
        return m;
      }
      int colon = line.indexOf(':');
      m.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
  }

  /** Reads the body that the head announces by length or in chunks. */
  static byte[] readBody(Message m, InputStream in) throws IOException {
    if (m.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("ended inside a chunk");
        }
        int n = Integer.parseInt(size.split(";")[0].trim(), 16);
        all.write(readFully(in, n));
        readLine(in);
        if (n == 0) {
          return all.toByteArray();
        }
      }
    }
    String length = m.header("content-length");
    return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
  }

  static Message read(InputStream in) throws IOException {
    Message m = readHead(in);
    if (m != null) {
      m.body = readBody(m, in);
    }
    return m;
  }

  static byte[] readFully(InputStream in, int n) throws IOException {
    byte[] b = new byte[n];
    int got = 0;
    while (got < n) {
      int r = in.read(b, got, n - got);
      if (r < 0) {
        throw new EOFException("ended after " + got + " of " + n + " bytes of a body");
      }
      got += r;
    }
    return b;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int c;
    while ((c = in.read()) >= 0) {
      if (c == '\n') {
        String s = line.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      line.write(c);
    }
    if (line.size() > 0) {
      throw new EOFException("ended inside a line");
    }
    return null;
  }

  static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.ISO_8859_1);
  }
}
