package org.mulleinshift.scenario;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mulleinshift.invariants.Rule;

/**
 * An entry of the list of known failures: one failure that is expected in one run.
 *
 * @param test the test class
 * @param scenario the name of the scenario file or of the random family
 * @param seed the seed of the run
 * @param failure the line of the expectation that fails, or the name of the rule that is broken
 * @param issue the number of the open issue
 */
record KnownFailure(String test, String scenario, long seed, String failure, int issue) {
  /** {@code TEST SCENARIO seed N: FAILURE | COMMAND | WHAT WAS SEEN | issue N}. */
  private static final Pattern LINE =
      Pattern.compile(
          "(\\w+Test) (\\S+) seed (\\d+): ([^|]+) \\| mvn [^|]+ \\| [^|]+ \\| issue (\\d+)");

  private static final int TEST = 1;
  private static final int SCENARIO = 2;
  private static final int SEED = 3;
  private static final int FAILURE = 4;
  private static final int ISSUE = 5;
  private static final String EXPECTATION_PREFIX = "expect ";

  /**
   * Parses a line of the list.
   *
   * @throws IllegalArgumentException if the line is malformed; the message shows it and the format
   */
  static KnownFailure parse(String line) {
    Matcher matcher = LINE.matcher(line);
    if (!matcher.matches() || !isFailure(matcher.group(FAILURE))) {
      throw new IllegalArgumentException(
          "malformed known failure: "
              + line
              + "\nexpected: TEST SCENARIO seed N: expect ...|RULE | mvn COMMAND | SEEN | issue N");
    }
    return new KnownFailure(
        matcher.group(TEST),
        matcher.group(SCENARIO),
        Long.parseLong(matcher.group(SEED)),
        matcher.group(FAILURE),
        Integer.parseInt(matcher.group(ISSUE)));
  }

  private static boolean isFailure(String text) {
    return text.startsWith(EXPECTATION_PREFIX) || rule(text).isPresent();
  }

  private static Optional<Rule> rule(String text) {
    return Arrays.stream(Rule.values()).filter(rule -> rule.toString().equals(text)).findFirst();
  }

  boolean isOf(String testName, String scenarioName) {
    return test.equals(testName) && scenario.equals(scenarioName);
  }

  /** Whether a reported failure is the expected one. */
  boolean matches(String reportedFailure) {
    if (failure.startsWith(EXPECTATION_PREFIX)) {
      return reportedFailure.startsWith(failure + ": ");
    }
    return reportedFailure.matches("\\d+\\.\\d{3} " + Pattern.quote(failure) + ": .*");
  }
}
