import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, arrays as lists, integers as Long or BigInteger. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text after the value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Object value = parse(text);
    if (!(value instanceof Map)) {
      throw new IllegalArgumentException("not an object");
    }
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  private void space() {
    while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  private char peek() {
    if (at >= text.length()) {
      throw new IllegalArgumentException("unexpected end");
    }
    return text.charAt(at);
  }

  private Object value() {
    space();
    char c = peek();
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      space();
      if (peek() == '}') {
        at++;
        return map;
      }
      while (true) {
        space();
        String key = string();
        space();
        expect(':');
        map.put(key, value());
        space();
        if (peek() == ',') {
          at++;
        } else {
          expect('}');
          return map;
        }
      }
    } else if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      space();
      if (peek() == ']') {
        at++;
        return list;
      }
      while (true) {
        list.add(value());
        space();
        if (peek() == ',') {
          at++;
        } else {
          expect(']');
          return list;
        }
      }
    } else if (c == '"') {
      return string();
    } else if (text.startsWith("true", at)) {
      at += 4;
      return true;
    } else if (text.startsWith("false", at)) {
      at += 5;
      return false;
    } else if (text.startsWith("null", at)) {
      at += 4;
      return null;
    }
    int from = at;
    while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String number = text.substring(from, at);
    if (number.indexOf('.') >= 0 || number.indexOf('e') >= 0 || number.indexOf('E') >= 0) {
      return new BigDecimal(number).doubleValue();
    }
    BigInteger integer = new BigInteger(number);
    return integer.bitLength() < 64 ? (Object) integer.longValue() : integer;
  }

  private void expect(char c) {
    if (peek() != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = peek();
      at++;
      if (c == '"') {
        return out.toString();
      }
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = peek();
      at++;
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String separator = "";
      for (Object item : list) {
        out.append(separator);
        write(item, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String text) {
      out.append('"');
      for (char c : text.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < 0x20) {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
