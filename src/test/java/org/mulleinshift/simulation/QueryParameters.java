package org.mulleinshift.simulation;

import java.util.HashMap;
import java.util.Map;

/** The parameters of a request's path. */
final class QueryParameters {
  private QueryParameters() {}

  /** Parameters by name; a path without any gives none. */
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
