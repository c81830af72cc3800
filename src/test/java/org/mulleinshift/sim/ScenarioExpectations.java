package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the {@code expect} lines of a scenario. */
final class ScenarioExpectations {
  private final RuleBook rules;
  private final SimState state;
  private final SimCloud cloud;
  private final List<SimNode> nodes;
  private final double end;
  private final List<String> failures;
  private final Map<String, String> owners = new HashMap<>();

  /**
   * Expectations of one scenario.
   *
   * @param end when the scenario ends, seconds
   * @param failures takes what was not as expected
   */
  ScenarioExpectations(
      RuleBook rules,
      SimState state,
      SimCloud cloud,
      List<SimNode> nodes,
      double end,
      List<String> failures) {
    this.rules = rules;
    this.state = state;
    this.cloud = cloud;
    this.nodes = nodes;
    this.end = end;
    this.failures = failures;
  }

  /** Keeps in mind who holds the blocks now. */
  void remember() {
    owners.putAll(state.owners());
  }

  /** Checks a line; what it does not find is added to the failures. */
  void check(String[] words) {
    String line = String.join(" ", words);
    double limit =
        words.length > 3 && !words[1].equals("stored")
            ? Double.parseDouble(words[words.length - 1])
            : end;
    switch (words[1]) {
      case "done" -> {
        RuleBook.TrueJob job = rules.job(words[2]);
        if (job.toldDoneAt == null || job.toldDoneAt > limit) {
          failures.add(line + ": told " + job.told + " at " + job.toldDoneAt);
        }
      }
      case "cancelled" -> {
        RuleBook.TrueJob job = rules.job(words[2]);
        if (job.cancelledAt == null || job.cancelledAt > limit) {
          failures.add(line + ": told " + job.told);
        }
      }
      case "started" -> {
        RuleBook.TrueJob job = rules.job(words[2]);
        if (job.firstStartAt == null || job.firstStartAt > limit) {
          failures.add(line + ": started at " + job.firstStartAt);
        }
      }
      case "starts" -> atMost(line, rules.job(words[2]).starts, limit);
      case "machines" -> atMost(line, cloud.existing().size(), Double.parseDouble(words[2]));
      case "rented" -> atMost(line, cloud.rented(), Double.parseDouble(words[2]));
      case "running" -> {
        if (rules.runningTasks(words[2]) < limit) {
          failures.add(line + ": " + rules.runningTasks(words[2]));
        }
      }
      case "holds" -> {
        long held =
            state.dump().entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("c/g/"))
                .filter(entry -> entry.getValue().path("holder").asText().equals(words[2]))
                .count();
        if (held < limit) {
          failures.add(line + ": " + held);
        }
      }
      case "led" -> {
        if (!state.ledBetween(Double.parseDouble(words[2]), limit)) {
          failures.add(line + ": no term began");
        }
      }
      case "led-none" -> {
        if (state.ledBetween(Double.parseDouble(words[2]), end)) {
          failures.add(line + ": a term began");
        }
      }
      case "granted" -> atMost(line, (int) state.grantedAfter(Double.parseDouble(words[2])), limit);
      case "late-starts" -> atMost(line, rules.lateStarts(), Double.parseDouble(words[2]));
      case "gone" -> atMost(line, rules.longestGone(), limit);
      case "refusals" -> atMost(line, cloud.refusals(), Double.parseDouble(words[2]));
      case "unfit" -> atMost(line, state.unfit(), Double.parseDouble(words[2]));
      case "refused" -> atMost(line, state.refused(), Double.parseDouble(words[2]));
      case "accepted" -> atLeast(line, rules.acceptedWithin(words[2], limit), 0.97);
      case "open" -> atMost(line, rules.open(words[2]), limit);
      case "all-done" -> atLeast(line, rules.doneShare(words[2]), 1);
      case "moved" -> {
        Map<String, String> now = state.owners();
        long moved =
            owners.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(now.get(entry.getKey())))
                .count();
        atMost(line, owners.isEmpty() ? Integer.MAX_VALUE : (int) moved, limit);
      }
      case "stored" -> {
        JsonNode value = state.dump().get(words[2]);
        if (value == null || !value.at("/" + words[3]).asText().equals(words[4])) {
          failures.add(line + ": " + value);
        }
      }
      case "in-time" -> atLeast(line, rules.inTimeShare(words[2]), limit);
      case "answers" -> atMost(line, state.longestAnswer(), Double.parseDouble(words[2]));
      case "waiting" ->
          atMost(
              line,
              nodes.stream().mapToInt(SimNode::maxWaiting).max().orElse(0),
              Double.parseDouble(words[2]));
      case "not-accepted" -> {
        RuleBook.TrueJob job = rules.job(words[2]);
        if (job.acceptedAt != null && job.acceptedAt < limit) {
          failures.add(line + ": accepted at " + job.acceptedAt);
        }
      }
      case "writes" -> atMost(line, state.writes(), Double.parseDouble(words[2]));
      case "keys" -> {
        double count = state.dump().keySet().stream().filter(k -> k.startsWith(words[2])).count();
        if (words[3].equals("min")) {
          atLeast(line, count, limit);
        } else {
          atMost(line, count, limit);
        }
      }
      default -> throw new IllegalArgumentException(line);
    }
  }

  private void atLeast(String line, double value, double limit) {
    if (value < limit) {
      failures.add(line + ": " + value);
    }
  }

  private void atMost(String line, double value, double limit) {
    if (value > limit) {
      failures.add(line + ": " + value);
    }
  }
}
