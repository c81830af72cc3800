package org.mulleinshift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.GoldenFile;

/**
 * Guards against accidental changes of the user API's wire format: submissions must be parsed, and
 * responses written, as by the earlier build that wrote the golden files.
 */
class JobMessageGoldenTest {
  private static final String DIRECTORY = "users/";
  private static final JobId JOB = new JobId("run-000412");
  private static final int TASKS = 100_000;

  private static String file(String name) {
    return DIRECTORY + name + ".json";
  }

  private static Map<String, JobSpec> specs() {
    Map<String, JobSpec> specs = new LinkedHashMap<>();
    for (JobKind kind : JobKind.values()) {
      specs.put("submission-" + kind.wireName(), JobSpecSamples.full(JOB, kind, Priority.NORMAL));
    }
    for (Priority priority : Priority.values()) {
      specs.put(
          "submission-" + priority.wireName(), JobSpecSamples.full(JOB, JobKind.ARRAY, priority));
    }
    specs.put(
        "submission-without-optional-fields", JobSpecSamples.withoutOptionalFields(JOB, TASKS));
    return specs;
  }

  private static Set<String> submissions() {
    return specs().keySet();
  }

  @ParameterizedTest
  @MethodSource("submissions")
  void submissionsMatchGoldenFiles(String name) {
    GoldenFile.assertHolds(file(name), Json.write(JobCodec.writeSubmission(specs().get(name))));
  }

  @ParameterizedTest
  @MethodSource("submissions")
  void parsesGoldenSubmissions(String name) throws MalformedMessageException {
    JsonNode submission = Json.parseObject(GoldenFile.text(file(name)));
    assertEquals(specs().get(name), JobCodec.parseSubmission(submission));
    assertEquals(List.of(), JobCodec.parseDependencies(submission));
  }

  @Test
  void submissionWithDependenciesMatchesGoldenFile() {
    ObjectNode submission =
        JobCodec.writeSubmission(JobSpecSamples.withoutOptionalFields(JOB, TASKS));
    submission.putNull("builds").putNull("yard").putNull("due_s").put("colour", "red");
    submission.putArray("awaits").add("run-7").add("run-8").add("run-7");
    GoldenFile.assertHolds(file("submission-awaiting"), Json.write(submission));
  }

  @Test
  void parsesGoldenSubmissionWithDependencies() throws MalformedMessageException {
    JsonNode submission = Json.parseObject(GoldenFile.text(file("submission-awaiting")));
    assertEquals(
        JobSpecSamples.withoutOptionalFields(JOB, TASKS), JobCodec.parseSubmission(submission));
    assertEquals(
        List.of(new JobId("run-7"), new JobId("run-8")), JobCodec.parseDependencies(submission));
  }

  private static Map<String, String> responses() {
    Map<String, String> responses = new LinkedHashMap<>();
    for (JobPhase phase : JobPhase.values()) {
      responses.put(
          "view-" + phase.wireName(),
          JobCodec.writeStatus(JOB, phase, OptionalInt.empty(), OptionalInt.empty()));
    }
    responses.put(
        "view-with-counts",
        JobCodec.writeStatus(JOB, JobPhase.RUNNING, OptionalInt.of(3), OptionalInt.of(13)));
    responses.put("error", JobCodec.writeError("no such job"));
    return responses;
  }

  private static Set<String> responseNames() {
    return responses().keySet();
  }

  @ParameterizedTest
  @MethodSource("responseNames")
  void responsesMatchGoldenFiles(String name) {
    GoldenFile.assertHolds(file(name), responses().get(name));
  }
}
