package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tells what a transaction is for by the keys that it writes; scenarios name these kinds. */
final class TransactionKinds {
  private static final Map<String, String> KIND_BY_PREFIX =
      Map.of(
          "c/g", "grant",
          "c/n", "node",
          "c/b", "block",
          "p", "delegation",
          "l", "delegation",
          "r", "rental",
          "t", "end");

  private static final String ACTIVE_JOB_PREFIX = "a/";
  private static final String ENDED_JOB_PREFIX = "t/";

  private TransactionKinds() {}

  /** The kinds of the transaction's writes. */
  static Set<String> of(JsonNode transaction) {
    boolean guardsEndedJob =
        transaction.path("guards").findValuesAsText("k").stream()
            .anyMatch(key -> key.startsWith(ENDED_JOB_PREFIX));
    Set<String> kinds = new HashSet<>();
    for (JsonNode write : transaction.path("writes")) {
      String kind = kindOf(write, guardsEndedJob);
      if (kind != null) {
        kinds.add(kind);
      }
    }
    return kinds;
  }

  private static String kindOf(JsonNode write, boolean guardsEndedJob) {
    String key = write.path(write.has("set") ? "set" : "delete").asText();
    if (key.startsWith(ACTIVE_JOB_PREFIX)) {
      return kindOfJobRecord(write, guardsEndedJob);
    }
    if (key.equals(StoreHistory.LEADER_KEY)) {
      return "leader";
    }
    return KIND_BY_PREFIX.get(key.replaceAll("^(c/.|.)/.*", "$1"));
  }

  /** A new job's record is only written where no end is stored under its name. */
  private static String kindOfJobRecord(JsonNode write, boolean guardsEndedJob) {
    if (write.has("delete")) {
      return "end";
    }
    return guardsEndedJob ? "acceptance" : "cancellation";
  }
}
