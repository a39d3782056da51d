import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
  private Http() {}

  /** A message: a request (first line METHOD TARGET VERSION) or a response. */
  static final class Message {
    String first = "";
    final Map<String, List<String>> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      List<String> all = headers.get(name.toLowerCase(Locale.ROOT));
      return all == null ? null : all.get(0);
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  /** Reads the head of a message; null if the connection ends before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    Message m = null;
    while (true) {
      int b = in.read();
      if (b < 0) {
        if (m == null && line.size() == 0) {
          return null;
        }
        throw new EOFException("connection ended in a head");
      }
      if (b != '\n') {
        line.write(b);
        continue;
      }
      String text = line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
      line.reset();
      if (m == null) {
        if (text.isEmpty()) {
          continue;
        }
        m = new Message();
        m.first = text;
      } else if (text.isEmpty()) {
        return m;
      } else {
        int colon = text.indexOf(':');
        m.headers
            .computeIfAbsent(
                text.substring(0, colon).trim().toLowerCase(Locale.ROOT), k -> new ArrayList<>())
            .add(text.substring(colon + 1).trim());
      }
    }
  }

  static byte[] readBytes(InputStream in, int n) throws IOException {
    byte[] bytes = in.readNBytes(n);
    if (bytes.length < n) {
      throw new EOFException("body ended after " + bytes.length + " of " + n + " bytes");
    }
    return bytes;
  }

  /** Reads a whole message with a length or in chunks. */
  static Message read(InputStream in) throws IOException {
    Message m = readHead(in);
    if (m == null) {
      return null;
    }
    String length = m.header("content-length");
    String coding = m.header("transfer-encoding");
    if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
        body.write(readBytes(in, size));
        if (size == 0) {
          while (!readLine(in).isEmpty()) {}
          break;
        }
        readLine(in);
      }
      m.body = body.toByteArray();
    } else if (length != null) {
      m.body = readBytes(in, Integer.parseInt(length));
    }
    return m;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b;
    while ((b = in.read()) != '\n') {
      if (b < 0) {
        throw new EOFException("connection ended in a line");
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
  }

  static byte[] head(String first, String... fields) {
    StringBuilder out = new StringBuilder(first).append("\r\n");
    for (String f : fields) {
      out.append(f).append("\r\n");
    }
    return out.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
