package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Classifies transactions by the keys that they write. Scenarios refer to these kinds by name. */
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

  /** The kinds of all writes of the transaction. */
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

  /**
   * Only the transaction that accepts a job guards a key of an ended job: it requires that no end
   * is stored under the job's id.
   */
  private static String kindOfJobRecord(JsonNode write, boolean guardsEndedJob) {
    if (write.has("delete")) {
      return "end";
    }
    return guardsEndedJob ? "acceptance" : "cancellation";
  }
}
