package org.mulleinshift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.GoldenFile;
import org.mulleinshift.protocol.WorkerHeartbeat.Cause;
import org.mulleinshift.protocol.WorkerHeartbeat.State;

/** What workers report is understood, and what they are told is written, as by an earlier build. */
class WorkerMessageGoldenTest {
  private static final String DIRECTORY = "workers/";
  private static final String REPORT = file("report");
  private static final String RECALLED = file("report-of-recalled-machine");
  private static final JobId JOB = new JobId("run-000412");
  private static final FencingToken TOKEN = new FencingToken(417L << 20);

  /** A task's state and cause as workers name them, and as they are understood. */
  private record Reported(String phase, String cause, State state, Cause why) {}

  private static final List<Reported> REPORTED =
      List.of(
          new Reported("fetching", null, State.FETCHING, Cause.NONE),
          new Reported("waiting", null, State.WAITING, Cause.NONE),
          new Reported("running", null, State.RUNNING, Cause.NONE),
          new Reported("saving", null, State.SAVING, Cause.NONE),
          new Reported("exited", null, State.EXITED, Cause.NONE),
          new Reported("exited", "done", State.EXITED, Cause.DONE),
          new Reported("exited", "halted", State.EXITED, Cause.STOPPED),
          new Reported("exited", "error", State.EXITED, Cause.ERROR),
          new Reported("exited", "full", State.EXITED, Cause.INSUFFICIENT_RESOURCES),
          new Reported("exited", "in_use", State.EXITED, Cause.BUSY),
          new Reported("exited", "peers", State.EXITED, Cause.GANG_BROKEN),
          new Reported("exited", "incomplete", State.EXITED, Cause.GANG_BROKEN),
          new Reported("exited", "no_such", State.EXITED, Cause.UNKNOWN),
          new Reported("exited", "unheard-of", State.EXITED, Cause.ERROR));

  private static String file(String name) {
    return DIRECTORY + name + ".json";
  }

  private static ObjectNode report(Double recallSeconds) {
    ObjectNode report = Json.object();
    report.put("host", "i-000231").put("addr", "10.1.0.232:9000");
    report.put("build", "g8").put("yard", "a").put("loaner", true);
    report.put("shift", 3).put("tick", 88).put("baton", TOKEN.value());
    report.put("recall_s", recallSeconds);
    return report;
  }

  @Test
  void aReportOfAllTaskStatesIsWrittenAsBefore() {
    ObjectNode report = report(null);
    ArrayNode tasks = report.putArray("pieces");
    for (int i = 0; i < REPORTED.size(); i++) {
      Reported reported = REPORTED.get(i);
      ObjectNode task = tasks.addObject();
      task.put("piece", JOB + "/" + i).put("try", 100 + i);
      task.put("phase", reported.phase()).put("cause", reported.cause()).put("kept", true);
    }
    GoldenFile.assertHolds(REPORT, Json.write(report));
  }

  @Test
  void aReportOfARecalledMachineIsWrittenAsBefore() {
    ObjectNode report = report(27.5);
    report.putArray("pieces");
    GoldenFile.assertHolds(RECALLED, Json.write(report));
  }

  @Test
  void aReportOfAllTaskStatesIsReadAsItWasMeant() throws MalformedMessageException {
    WorkerHeartbeat report = WorkerCodec.parseHeartbeat(GoldenFile.text(REPORT));
    assertEquals(expected(Optional.empty(), report.tasks()), report);
    assertEquals(REPORTED.size(), report.tasks().size());
    for (int i = 0; i < REPORTED.size(); i++) {
      Reported reported = REPORTED.get(i);
      WorkerHeartbeat.Entry entry =
          new WorkerHeartbeat.Entry(
              new TaskId(JOB, i), new Attempt(100 + i), reported.state(), reported.why());
      assertEquals(entry, report.tasks().get(i));
    }
  }

  @Test
  void aReportOfARecalledMachineIsReadAsItWasMeant() throws MalformedMessageException {
    WorkerHeartbeat report = WorkerCodec.parseHeartbeat(GoldenFile.text(RECALLED));
    assertEquals(expected(Optional.of(Duration.ofMillis(27_500)), List.of()), report);
  }

  private static WorkerHeartbeat expected(
      Optional<Duration> recall, List<WorkerHeartbeat.Entry> tasks) {
    return new WorkerHeartbeat(
        new MachineId("i-000231"),
        "10.1.0.232:9000",
        new MachineTypeId("g8"),
        new ZoneId("a"),
        true,
        new HeartbeatVersion(3, 88),
        TOKEN,
        recall,
        tasks);
  }

  private static Map<String, String> messages() {
    TaskId task = new TaskId(JOB, 4);
    List<WorkerCommand> orders =
        List.of(
            new WorkerCommand.Run(task, new Attempt(2)),
            new WorkerCommand.Halt(new TaskId(JOB, 5), new Attempt(3), Duration.ofMillis(10_250)),
            new WorkerCommand.Halt(new TaskId(JOB, 6), new Attempt(4), Duration.ZERO),
            new WorkerCommand.Forget(new TaskId(JOB, 7), new Attempt(1L << 40)));
    Map<String, String> messages = new LinkedHashMap<>();
    messages.put("response", WorkerCodec.response(TOKEN, orders));
    messages.put("response-without-orders", WorkerCodec.response(TOKEN, List.of()));
    messages.put("direct-orders", WorkerCodec.direct(TOKEN, 3, orders));
    messages.put("direct-without-orders", WorkerCodec.direct(TOKEN, 3, List.of()));
    messages.put("redirect", WorkerCodec.redirect(new NodeId("n-2")));
    return messages;
  }

  private static Set<String> messageNames() {
    return messages().keySet();
  }

  @ParameterizedTest
  @MethodSource("messageNames")
  void ordersAreWrittenAsBefore(String name) {
    GoldenFile.assertHolds(file(name), messages().get(name));
  }
}
