package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer, enough for the bodies of the published protocol. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  static String quote(String s) {
    StringBuilder b = new StringBuilder("\"");
    for (char c : s.toCharArray()) {
      if (c == '"' || c == '\\') {
        b.append('\\').append(c);
      } else if (c < ' ') {
        b.append(String.format("\\u%04x", (int) c));
      } else {
        b.append(c);
      }
    }
    return b.append('"').toString();
  }

  private char peek() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = peek();
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (peek() != '}') {
        String key = string();
        peek();
        at++; // the colon
        map.put(key, value());
        if (peek() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (peek() != ']') {
        list.add(value());
        if (peek() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return word.equals("true") || word.equals("false")
        ? Boolean.valueOf(word)
        : word.equals("null") ? null : (Object) Double.valueOf(word);
  }

  private String string() {
    peek();
    at++;
    StringBuilder b = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char e = text.charAt(at++);
        if (e == 'u') {
          b.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        } else {
          b.append(e == 'n' ? '\n' : e == 't' ? '\t' : e == 'r' ? '\r' : e);
        }
      } else {
        b.append(c);
      }
    }
    at++;
    return b.toString();
  }
}
