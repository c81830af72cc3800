package org.mulleinshift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
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
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/** A {@link JobApi} over a stub store whose keys and failures a test sets. */
abstract class JobApiFixture {
  private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("host", 1);
  private static final int RETRY_AFTER_SECONDS = 7;
  private static final Revision REVISION = new Revision(5);
  private static final int VALUE_BYTES = 8192;
  private static final int OPERATIONS = 12;
  static final JobId JOB = new JobId("run-1");
  static final JobSpec SPEC = JobSpecSamples.withoutOptionalFields(JOB, 16);
  private static final String CATALOG =
      "{\"builds\":[{\"label\":\"small\",\"cpus\":8,\"cards\":0,\"ram_gb\":64,\"local_gb\":100,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"market_price\":0.4,\"startup_s\":8,"
          + "\"yards\":[\"a\"]}]}";
  static final Answer TRY_AGAIN =
      new Answer(503, "{\"error\":\"try again\"}", Optional.of(RETRY_AFTER_SECONDS));
  static final Answer NOT_FOUND = answer(404, "{\"error\":\"no such job\"}");

  /** A response to a user. */
  record Answer(int status, String body, Optional<Integer> retryAfterSeconds) {}

  static Answer answer(int status, String body) {
    return new Answer(status, body, Optional.empty());
  }

  static Answer phase(int status, String phase) {
    return answer(status, "{\"ref\":\"run-1\",\"phase\":\"" + phase + "\"}");
  }

  /** Records the response to a request and fails if there is more than one. */
  private static final class AnswerRecorder implements Responder {
    private Optional<Answer> answer = Optional.empty();

    @Override
    public void respond(int status, String body) {
      record(new Answer(status, body, Optional.empty()));
    }

    @Override
    public void respondWithRetryAfter(int status, String body, int retryAfterSeconds) {
      record(new Answer(status, body, Optional.of(retryAfterSeconds)));
    }

    private void record(Answer next) {
      assertEquals(Optional.empty(), answer, "more than one response");
      answer = Optional.of(next);
    }
  }

  /** A store whose keys and failures the test sets. */
  final class StoreStub implements AsyncHttpClient {
    private final Map<String, String> items = new HashMap<>();
    int readStatus = HttpStatus.OK;
    int commitStatus = HttpStatus.OK;
    Runnable onRead = () -> {};

    void put(String key, String value) {
      items.put(
          "/keys/" + key,
          "{\"k\":\"" + key + "\",\"value\":" + value + ",\"stamp\":" + REVISION.value() + "}");
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
      onRead.run();
      if (readStatus != HttpStatus.OK) {
        return new HttpResponse(readStatus, "{}");
      }
      String item = items.get(request.path());
      return item == null
          ? new HttpResponse(HttpStatus.NOT_FOUND, "{\"epoch\":6}")
          : new HttpResponse(HttpStatus.OK, item);
    }
  }

  private final VirtualEventLoop loop = new VirtualEventLoop();
  final StoreStub store = new StoreStub();
  int catalogStatus = HttpStatus.OK;
  final MachineTypeCatalog catalog =
      new MachineTypeCatalog(
          loop,
          (target, request, onResponse) ->
              onResponse.accept(new HttpResponse(catalogStatus, CATALOG)),
          ADDRESS,
          () -> {});
  boolean viewConfirmed = true;

  /** Updates the view just before it is confirmed. */
  Runnable onConfirmation = () -> {};

  /** The cancellations that were announced to the other controllers. */
  final List<JobId> announced = new ArrayList<>();

  boolean announcementsAcknowledged = true;
  boolean allControllersVerifyDependencies = true;
  MemoryPressure memoryPressure = MemoryPressure.NORMAL;
  JobApi api;

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
            new PlatformSettings.StoreLimits(1000, 1000, VALUE_BYTES, OPERATIONS),
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
                this::confirmCurrent,
                () -> memoryPressure,
                this::announce,
                () -> allControllersVerifyDependencies));
  }

  private void announce(JobId job, Consumer<Boolean> result) {
    announced.add(job);
    result.accept(announcementsAcknowledged);
  }

  private void confirmCurrent(Consumer<Boolean> result) {
    if (viewConfirmed) {
      onConfirmation.run();
    }
    result.accept(viewConfirmed);
  }

  Answer answerTo(Consumer<Responder> request) {
    AnswerRecorder recorder = new AnswerRecorder();
    request.accept(recorder);
    loop.runFor(1);
    return recorder.answer.orElseThrow();
  }

  Answer submit(String body) {
    if (!catalog.isLoaded()) {
      catalog.start();
    }
    return answerTo(responder -> api.submit(body, responder));
  }

  Answer submit() {
    return submit(submission().toString());
  }

  Answer poll() {
    return answerTo(responder -> api.poll(JOB, responder));
  }

  Answer cancel() {
    return answerTo(responder -> api.cancel(JOB, responder));
  }

  static ObjectNode submission() {
    return JobCodec.writeSubmission(SPEC);
  }

  void storeActive(boolean cancelled) {
    store.put(
        StoreKeys.activeJob(JOB),
        JobRecord.value(SPEC, JobDependencies.NONE, 1, cancelled).toString());
  }

  void storeEnded(JobPhase phase) {
    storeEnded(JOB, phase);
  }

  void storeEnded(JobId job, JobPhase phase) {
    store.put(StoreKeys.endedJob(job), JobRecord.endedValue(phase, 1).toString());
  }

  void showActive() {
    api.onActive(JOB, Optional.of(new JobRecord(SPEC, 1, false, REVISION)));
  }
}
