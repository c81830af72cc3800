package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.Expectations.atLeast;
import static org.mulleinshift.scenario.Expectations.atMost;
import static org.mulleinshift.scenario.Expectations.unless;
import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.scenario.Expectations.Expectation;
import org.mulleinshift.simulation.SimulatedStore;
import org.mulleinshift.simulation.StoreHistory;

/** Expectations about the contents of the key-value store, its history and its load. */
final class StoreExpectations {
  private final SimulatedStore store;
  private final double endSeconds;
  private final Map<String, String> rememberedOwners = new HashMap<>();

  StoreExpectations(SimulatedStore store, double endSeconds) {
    this.store = store;
    this.endSeconds = endSeconds;
  }

  /** Remembers the present owner of each shard, for {@code expect moved}. */
  void rememberOwners() {
    rememberedOwners.putAll(store.owners());
  }

  void addTo(Map<String, Expectation> kinds) {
    addHistory(kinds, store.history());
    kinds.put("holds", (line, limit) -> atLeast(shardsOf(line.word(1)), limit));
    kinds.put("moved", (line, limit) -> atMost(movedShards(), limit));
    kinds.put("unfit", (line, limit) -> atMost(store.rejectedTransactionCount(), line.number(1)));
    kinds.put("refused", (line, limit) -> atMost(store.rateLimitedCount(), line.number(1)));
    kinds.put("answers", (line, limit) -> atMost(store.longestPageChars(), line.number(1)));
    kinds.put("stored", (line, limit) -> stored(line));
    kinds.put("keys", this::keys);
  }

  private void addHistory(Map<String, Expectation> kinds, StoreHistory history) {
    kinds.put(
        "led",
        (line, limit) -> unless(history.termBeganBetween(line.number(1), limit), "no term began"));
    kinds.put(
        "led-none",
        (line, limit) ->
            unless(!history.termBeganBetween(line.number(1), endSeconds), "a term began"));
    kinds.put(
        "granted", (line, limit) -> atMost((double) history.grantsAfter(line.number(1)), limit));
    kinds.put("ends-again", (line, limit) -> atMost(history.endsStoredAgain(), line.number(1)));
    kinds.put("writes", (line, limit) -> atMost(history.writeCount(), line.number(1)));
  }

  private double shardsOf(String owner) {
    return store.owners().values().stream().filter(owner::equals).count();
  }

  /** Shards whose owner is not the remembered one; above any limit if none was remembered. */
  private double movedShards() {
    if (rememberedOwners.isEmpty()) {
      return Double.MAX_VALUE;
    }
    Map<String, String> now = store.owners();
    return rememberedOwners.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(now.get(entry.getKey())))
        .count();
  }

  private Optional<String> stored(ScenarioLine line) {
    JsonNode value = store.values().get(line.word(1));
    boolean met = value != null && value.at("/" + line.word(2)).asText().equals(line.word(THIRD));
    return unless(met, String.valueOf(value));
  }

  private Optional<String> keys(ScenarioLine line, double limit) {
    String prefix = line.word(1);
    double count = store.values().keySet().stream().filter(key -> key.startsWith(prefix)).count();
    return line.word(2).equals("min") ? atLeast(count, limit) : atMost(count, limit);
  }
}
