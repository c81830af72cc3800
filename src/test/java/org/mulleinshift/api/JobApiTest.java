package org.mulleinshift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.membership.VirtualEventLoop;
import org.mulleinshift.memory.MemoryPressure;
import org.mulleinshift.model.JobDependencies;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.JobSpecSamples;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.Responder;

/** Status, Retry-After and body of each answer to a user. */
final class JobApiTest {
  private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("host", 1);
  private static final int RETRY_AFTER_SECONDS = 7;
  private static final JobId JOB = new JobId("run-1");
  private static final JobSpec SPEC = JobSpecSamples.withoutOptionalFields(JOB, 16);
  private static final String CATALOG =
      "{\"builds\":[{\"label\":\"small\",\"cpus\":8,\"cards\":0,\"ram_gb\":64,\"local_gb\":100,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"market_price\":0.4,\"startup_s\":8,"
          + "\"yards\":[\"a\"]}]}";
  private static final Answer TRY_AGAIN =
      new Answer(503, "{\"error\":\"try again\"}", Optional.of(RETRY_AFTER_SECONDS));
  private static final Answer NOT_FOUND = answer(404, "{\"error\":\"no such job\"}");

  /** What a user gets. */
  private record Answer(int status, String body, Optional<Integer> retryAfterSeconds) {}

  private static Answer answer(int status, String body) {
    return new Answer(status, body, Optional.empty());
  }

  private static Answer phase(int status, String phase) {
    return answer(status, "{\"ref\":\"run-1\",\"phase\":\"" + phase + "\"}");
  }

  /** Keeps the only answer to a request. */
  private static final class AnswerRecorder implements Responder {
    private Optional<Answer> answer = Optional.empty();

    @Override
    public void respond(int status, String body) {
      record(new Answer(status, body, Optional.empty()));
    }

    @Override
    public void respondLater(int status, String body, int retryAfterSeconds) {
      record(new Answer(status, body, Optional.of(retryAfterSeconds)));
    }

    private void record(Answer next) {
      assertEquals(Optional.empty(), answer, "an earlier answer");
      answer = Optional.of(next);
    }
  }

  /** A store whose keys and refusals the test sets. */
  private final class StoreStub implements AsyncHttpClient {
    private final Map<String, String> items = new HashMap<>();
    private int readStatus = 200;
    private int commitStatus = 200;

    void put(String key, String value) {
      items.put(
          "/keys/" + key, "{\"k\":\"" + key + "\",\"value\":" + value + ",\"stamp\":" + 5 + "}");
    }

    @Override
    public void call(
        InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> onResponse) {
      loop.post(() -> onResponse.accept(respond(request)));
    }

    private HttpResponse respond(HttpRequest request) {
      if (request.method().equals("POST")) {
        return new HttpResponse(commitStatus, "{\"epoch\":6}");
      }
      if (readStatus != 200) {
        return new HttpResponse(readStatus, "{}");
      }
      String item = items.get(request.path());
      return item == null ? new HttpResponse(404, "{\"epoch\":6}") : new HttpResponse(200, item);
    }
  }

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final StoreStub store = new StoreStub();
  private int catalogStatus = 200;
  private final MachineTypeCatalog catalog =
      new MachineTypeCatalog(
          loop,
          (target, request, onResponse) ->
              onResponse.accept(new HttpResponse(catalogStatus, CATALOG)),
          ADDRESS,
          () -> {});
  private boolean viewCurrent = true;
  private MemoryPressure memoryPressure = MemoryPressure.NORMAL;
  private JobApi api;

  @BeforeEach
  void createApi() {
    PlatformSettings.Cluster cluster =
        new PlatformSettings.Cluster(
            1,
            List.of("a"),
            Duration.ZERO,
            List.of(
                new PlatformSettings.Team("vision", 0, 100, 0, 0),
                new PlatformSettings.Team("small", 0, 1, 0, 0)),
            List.of(),
            new PlatformSettings.WorkerTiming(Duration.ZERO, Duration.ZERO, Duration.ZERO),
            new PlatformSettings.StoreLimits(1000, 1000, 8192, 12),
            new PlatformSettings.CloudLimits(1, Duration.ZERO));
    KeyValueStore keyValueStore =
        new KeyValueStore(loop, store, store, ADDRESS, new KeyValueStore.Rates(1000, 1000, 1, 1));
    api =
        new JobApi(
            new JobApi.Context(
                loop,
                keyValueStore,
                catalog,
                cluster,
                RETRY_AFTER_SECONDS,
                result -> result.accept(viewCurrent),
                () -> memoryPressure,
                (job, result) -> result.accept(true)));
  }

  private Answer answerTo(Consumer<Responder> request) {
    AnswerRecorder recorder = new AnswerRecorder();
    request.accept(recorder);
    loop.runFor(1);
    return recorder.answer.orElseThrow();
  }

  private Answer submit(String body) {
    if (!catalog.isLoaded()) {
      catalog.start();
    }
    return answerTo(responder -> api.submit(body, responder));
  }

  private Answer submit() {
    return submit(submission().toString());
  }

  private Answer poll() {
    return answerTo(responder -> api.poll(JOB, responder));
  }

  private Answer cancel() {
    return answerTo(responder -> api.cancel(JOB, responder));
  }

  private static ObjectNode submission() {
    return JobCodec.writeSubmission(SPEC);
  }

  private void storeActive(boolean cancelled) {
    store.put(
        StoreKeys.activeJob(JOB),
        JobRecord.value(SPEC, JobDependencies.NONE, 1, cancelled).toString());
  }

  private void storeEnded(JobPhase phase) {
    store.put(StoreKeys.endedJob(JOB), JobRecord.endedValue(phase, 1).toString());
  }

  private void showActive() {
    api.onActive(JOB, Optional.of(new JobRecord(SPEC, 1, false, new Revision(5))));
  }

  @Test
  void acceptsANewJob() {
    assertEquals(phase(201, "pending"), submit());
  }

  @Test
  void answersARepeatedSubmissionWithTheJobsPhase() {
    store.commitStatus = 409;
    storeActive(false);
    assertEquals(phase(200, "pending"), submit(), "active");
    storeActive(true);
    assertEquals(phase(200, "cancelled"), submit(), "cancelled");
  }

  @Test
  void answersASubmissionOfAnEndedJobWithItsPhase() {
    store.commitStatus = 409;
    storeEnded(JobPhase.DONE);
    assertEquals(phase(200, "done"), submit());
  }

  @ParameterizedTest
  @CsvSource({
    "crew,\"nobody\",422,unknown team",
    "crew,\"small\",422,more than the team's limit",
    "cpus,1000,422,a task fits no allowed machine type",
    "yard,\"b\",422,a task fits no allowed machine type",
    "awaits,[\"run-1\"],422,awaits itself",
    "awaits,[\"run-2\"],422,awaits an unknown job",
    "awaits,\"run-2\",400,awaits is not a list",
    "shape,\"round\",400,shape is not one of the known values",
    "pieces,0,400,pieces is missing or out of range",
  })
  void rejectsWhatCanNeverRunUnlessItWasAccepted(
      String field, String value, int status, String reason) {
    ObjectNode node = submission();
    node.remove(field);
    String rest = node.toString();
    String body = rest.substring(0, rest.length() - 1) + ",\"" + field + "\":" + value + "}";
    assertEquals(answer(status, "{\"error\":\"" + reason + "\"}"), submit(body), "new job");
    storeActive(false);
    assertEquals(phase(200, "pending"), submit(body), "accepted job");
    store.readStatus = 503;
    assertEquals(TRY_AGAIN, submit(body), "unreadable job");
  }

  @Test
  void rejectsWhatIsNoSubmission() {
    assertEquals(answer(400, "{\"error\":\"not JSON\"}"), submit("{"));
    assertEquals(answer(400, "{\"error\":\"not an object\"}"), submit("[]"));
    assertEquals(answer(400, "{\"error\":\"ref is missing or not a short text\"}"), submit("{}"));
    assertEquals(answer(400, "{\"error\":\"ref is not a job id\"}"), submit("{\"ref\":\"x\"}"));
  }

  @Test
  void cannotTakeASubmissionNow() {
    catalogStatus = 503;
    assertEquals(TRY_AGAIN, submit(), "machine types unknown");
    catalogStatus = 200;
    store.commitStatus = 503;
    assertEquals(TRY_AGAIN, submit(), "store unavailable");
    store.commitStatus = 200;
    memoryPressure = MemoryPressure.CRITICAL;
    assertEquals(TRY_AGAIN, submit(), "memory");
  }

  @Test
  void answersAPoll() {
    assertEquals(NOT_FOUND, poll(), "never accepted");
    showActive();
    assertEquals(phase(200, "pending"), poll(), "before the first summary");
    api.onSummary(new JobSummary(List.of()));
    assertEquals(
        answer(200, "{\"ref\":\"run-1\",\"phase\":\"pending\",\"done\":0,\"running\":0}"),
        poll(),
        "without tasks");
    api.onSummary(new JobSummary(List.of(new JobTaskCounts("run-1", 3, 13))));
    assertEquals(
        answer(200, "{\"ref\":\"run-1\",\"phase\":\"running\",\"done\":3,\"running\":13}"),
        poll(),
        "with tasks");
    viewCurrent = false;
    assertEquals(TRY_AGAIN, poll(), "view not confirmed");
    viewCurrent = true;
    api.onNoLongerActive(JOB);
    store.readStatus = 503;
    assertEquals(TRY_AGAIN, poll(), "end unreadable");
    store.readStatus = 200;
    storeEnded(JobPhase.DONE);
    assertEquals(phase(200, "done"), poll(), "done");
  }

  @Test
  void anInvalidIdIsNotFound() {
    JobId invalid = new JobId("job-1");
    assertEquals(NOT_FOUND, answerTo(responder -> api.poll(invalid, responder)), "poll");
    assertEquals(NOT_FOUND, answerTo(responder -> api.cancel(invalid, responder)), "cancel");
  }

  @Test
  void cancelsAJob() {
    assertEquals(NOT_FOUND, cancel(), "never accepted");
    storeActive(false);
    store.commitStatus = 409;
    assertEquals(TRY_AGAIN, cancel(), "record changes again and again");
    store.commitStatus = 503;
    assertEquals(TRY_AGAIN, cancel(), "store unavailable");
    store.commitStatus = 200;
    assertEquals(phase(200, "cancelled"), cancel(), "active");
    assertEquals(phase(200, "cancelled"), poll(), "poll of a cancelled job");
  }

  @Test
  void aDoneJobStaysDone() {
    storeEnded(JobPhase.DONE);
    assertEquals(phase(200, "done"), cancel());
  }
}
