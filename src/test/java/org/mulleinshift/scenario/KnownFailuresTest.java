package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The list of known failures excuses exactly what it names, and names only tests that run. */
final class KnownFailuresTest {
  private static final String TEST = "ScenarioTest";
  private static final String COPIED = "CopiedCommandsTest";
  private static final String NAME = "07-example";
  private static final String DETAILS =
      " | mvn -q test -Dtest=ScenarioTest -Dscenario=07 | 36 starts | issue 12";
  private static final String EXPECTATION = "expect starts run-1 max 32";
  private static final String FAILURE = EXPECTATION + ": 36.0";
  private static final KnownFailures KNOWN =
      KnownFailures.parse(
          List.of("ScenarioTest 07-example seed 2: " + EXPECTATION + DETAILS, "", "  "));

  @Test
  void excusesTheNamedFailureOnItsSeed() {
    KnownFailures.Verdict verdict = KNOWN.judge(TEST, NAME, 2, List.of(FAILURE));
    assertEquals(List.of(), verdict.problems());
    assertEquals(List.of(FAILURE), verdict.excused());
  }

  @Test
  void excusesNoOtherSeed() {
    assertEquals(List.of(FAILURE), KNOWN.judge(TEST, NAME, 1, List.of(FAILURE)).problems());
  }

  @Test
  void excusesNoOtherScenarioOrTest() {
    assertEquals(List.of(FAILURE), KNOWN.judge(TEST, "08", 2, List.of(FAILURE)).problems());
    assertEquals(
        List.of(FAILURE), KNOWN.judge("CutScenarioTest", NAME, 2, List.of(FAILURE)).problems());
  }

  @Test
  void excusesNoOtherFailureOfTheSamePlay() {
    String broken = "41.250 ran_twice: run-1/3";
    assertEquals(List.of(broken), KNOWN.judge(TEST, NAME, 2, List.of(FAILURE, broken)).problems());
    String similar = EXPECTATION + "0: 400.0";
    assertTrue(KNOWN.judge(TEST, NAME, 2, List.of(FAILURE, similar)).problems().contains(similar));
  }

  @Test
  void excusesABrokenRuleOnlyByItsName() {
    KnownFailures known =
        KnownFailures.parse(List.of("ScenarioTest 07-example seed 2: ran_twice" + DETAILS));
    String broken = "41.250 ran_twice: run-1/3";
    String other = "41.250 quota: ran_twice: team t";
    assertEquals(List.of(other), known.judge(TEST, NAME, 2, List.of(broken, other)).problems());
  }

  @Test
  void failsOnceTheFailureNoLongerComes() {
    List<String> problems = KNOWN.judge(TEST, NAME, 2, List.of()).problems();
    assertEquals(1, problems.size());
    assertTrue(problems.get(0).startsWith("known failure no longer comes"), problems.get(0));
  }

  @Test
  void playsTheNamedSeedsBesidesTheFixedOnes() {
    assertEquals(
        List.of(1L, 2L, 3L),
        KNOWN.withKnownSeeds(SeedRange.parse("1-3").stream(), TEST, NAME).boxed().toList());
    assertEquals(
        List.of(7L, 2L),
        KNOWN.withKnownSeeds(SeedRange.parse("7").stream(), TEST, NAME).boxed().toList());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ScenarioTest 07-example: seen often",
        "ScenarioTest 07-example seed x: expect done run-1" + DETAILS,
        "ScenarioTest 07-example seed 2: sometimes" + DETAILS,
        "ScenarioTest 07-example seed 2: expect done run-1 | mvn -q test | issue 12",
        "ScenarioTest 07-example seed 2: expect done run-1 | mvn -q test | seen | no issue"
      })
  void refusesMalformedEntriesWithOneMessage(String line) {
    IllegalArgumentException refused =
        assertThrows(IllegalArgumentException.class, () -> KnownFailures.parse(List.of(line)));
    assertTrue(refused.getMessage().contains(line), refused.getMessage());
  }

  @Test
  void theListNamesOnlyScenariosThatArePlayed() throws IOException {
    Set<String> scenarioNames =
        Stream.concat(
                ScenarioCatalog.files().stream()
                    .flatMap(each -> Stream.of(TEST, COPIED).map(test -> test + " " + each.name())),
                ScenarioCatalog.randomFamilies().stream()
                    .map(each -> "RandomScenarioTest " + each.name()))
            .collect(Collectors.toSet());
    List<KnownFailure> unknown =
        KnownFailures.read().entries().stream()
            .filter(entry -> !scenarioNames.contains(entry.test() + " " + entry.scenario()))
            .toList();
    assertEquals(List.of(), unknown, "known failures that name no test");
  }
}
