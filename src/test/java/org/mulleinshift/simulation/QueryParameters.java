package org.mulleinshift.simulation;

import java.util.HashMap;
import java.util.Map;

/** Parses the query parameters of a request path. */
final class QueryParameters {
  private QueryParameters() {}

  /** The parameters by name; empty if the path has no query. */
  static Map<String, String> of(String path) {
    Map<String, String> values = new HashMap<>();
    int question = path.indexOf('?');
    if (question < 0) {
      return values;
    }
    for (String part : path.substring(question + 1).split("&", 0)) {
      int equals = part.indexOf('=');
      values.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return values;
  }
}
