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
import org.mulleinshift.protocol.WorkerHeartbeat.ExitCause;
import org.mulleinshift.protocol.WorkerHeartbeat.TaskState;

/**
 * Guards against accidental changes of the worker API's wire format: heartbeats must be parsed, and
 * commands written, as by the earlier build that wrote the golden files.
 */
class WorkerMessageGoldenTest {
  private static final String DIRECTORY = "workers/";
  private static final String HEARTBEAT = file("report");
  private static final String INTERRUPTED = file("report-of-recalled-machine");
  private static final JobId JOB = new JobId("run-000412");
  private static final FencingToken TOKEN = new FencingToken(417L << 20);

  /** A task's phase and cause on the wire, with the state and exit cause that they parse to. */
  private record TaskSample(String phase, String cause, TaskState state, ExitCause exitCause) {}

  private static final List<TaskSample> TASKS =
      List.of(
          new TaskSample("fetching", null, TaskState.FETCHING, ExitCause.NONE),
          new TaskSample("waiting", null, TaskState.WAITING, ExitCause.NONE),
          new TaskSample("running", null, TaskState.RUNNING, ExitCause.NONE),
          new TaskSample("saving", null, TaskState.SAVING, ExitCause.NONE),
          new TaskSample("exited", null, TaskState.EXITED, ExitCause.NONE),
          new TaskSample("exited", "done", TaskState.EXITED, ExitCause.DONE),
          new TaskSample("exited", "halted", TaskState.EXITED, ExitCause.STOPPED),
          new TaskSample("exited", "error", TaskState.EXITED, ExitCause.ERROR),
          new TaskSample("exited", "full", TaskState.EXITED, ExitCause.INSUFFICIENT_RESOURCES),
          new TaskSample("exited", "in_use", TaskState.EXITED, ExitCause.OTHER_ATTEMPT_PRESENT),
          new TaskSample("exited", "peers", TaskState.EXITED, ExitCause.GANG_FAILED),
          new TaskSample("exited", "incomplete", TaskState.EXITED, ExitCause.GANG_FAILED),
          new TaskSample("exited", "no_such", TaskState.EXITED, ExitCause.NO_SUCH_TASK),
          new TaskSample("exited", "unheard-of", TaskState.EXITED, ExitCause.ERROR));

  private static String file(String name) {
    return DIRECTORY + name + ".json";
  }

  private static ObjectNode heartbeatJson(Double interruptionSeconds) {
    ObjectNode heartbeat = Json.object();
    heartbeat.put("host", "i-000231").put("addr", "10.1.0.232:9000");
    heartbeat.put("build", "g8").put("yard", "a").put("loaner", true);
    heartbeat.put("shift", 3).put("tick", 88).put("baton", TOKEN.value());
    heartbeat.put("recall_s", interruptionSeconds);
    return heartbeat;
  }

  @Test
  void heartbeatWithAllTaskStatesMatchesGoldenFile() {
    ObjectNode heartbeat = heartbeatJson(null);
    ArrayNode tasks = heartbeat.putArray("pieces");
    for (int i = 0; i < TASKS.size(); i++) {
      TaskSample sample = TASKS.get(i);
      ObjectNode task = tasks.addObject();
      task.put("piece", JOB + "/" + i).put("try", 100 + i);
      task.put("phase", sample.phase()).put("cause", sample.cause()).put("kept", true);
    }
    GoldenFile.assertHolds(HEARTBEAT, Json.write(heartbeat));
  }

  @Test
  void heartbeatOfInterruptedMachineMatchesGoldenFile() {
    ObjectNode heartbeat = heartbeatJson(27.5);
    heartbeat.putArray("pieces");
    GoldenFile.assertHolds(INTERRUPTED, Json.write(heartbeat));
  }

  @Test
  void parsesGoldenHeartbeatWithAllTaskStates() throws MalformedMessageException {
    WorkerHeartbeat heartbeat = WorkerCodec.parseHeartbeat(GoldenFile.text(HEARTBEAT));
    assertEquals(expected(Optional.empty(), heartbeat.tasks()), heartbeat);
    assertEquals(TASKS.size(), heartbeat.tasks().size());
    for (int i = 0; i < TASKS.size(); i++) {
      TaskSample sample = TASKS.get(i);
      WorkerHeartbeat.ReportedTask entry =
          new WorkerHeartbeat.ReportedTask(
              new TaskId(JOB, i), new Attempt(100 + i), sample.state(), sample.exitCause());
      assertEquals(entry, heartbeat.tasks().get(i));
    }
  }

  @Test
  void parsesGoldenHeartbeatOfInterruptedMachine() throws MalformedMessageException {
    WorkerHeartbeat heartbeat = WorkerCodec.parseHeartbeat(GoldenFile.text(INTERRUPTED));
    assertEquals(expected(Optional.of(Duration.ofMillis(27_500)), List.of()), heartbeat);
  }

  private static WorkerHeartbeat expected(
      Optional<Duration> interruptionNotice, List<WorkerHeartbeat.ReportedTask> tasks) {
    return new WorkerHeartbeat(
        new MachineId("i-000231"),
        "10.1.0.232:9000",
        new MachineTypeId("g8"),
        new ZoneId("a"),
        true,
        new HeartbeatVersion(3, 88),
        TOKEN,
        interruptionNotice,
        tasks);
  }

  private static Map<String, String> messages() {
    TaskId task = new TaskId(JOB, 4);
    List<WorkerCommand> commands =
        List.of(
            new WorkerCommand.Run(task, new Attempt(2)),
            new WorkerCommand.Stop(new TaskId(JOB, 5), new Attempt(3), Duration.ofMillis(10_250)),
            new WorkerCommand.Stop(new TaskId(JOB, 6), new Attempt(4), Duration.ZERO),
            new WorkerCommand.Forget(new TaskId(JOB, 7), new Attempt(1L << 40)));
    Map<String, String> messages = new LinkedHashMap<>();
    messages.put("response", WorkerCodec.writeHeartbeatResponse(TOKEN, commands));
    messages.put("response-without-orders", WorkerCodec.writeHeartbeatResponse(TOKEN, List.of()));
    messages.put("direct-orders", WorkerCodec.writeCommands(TOKEN, 3, commands));
    messages.put("direct-without-orders", WorkerCodec.writeCommands(TOKEN, 3, List.of()));
    messages.put("redirect", WorkerCodec.writeRedirect(new NodeId("n-2")));
    return messages;
  }

  private static Set<String> messageNames() {
    return messages().keySet();
  }

  @ParameterizedTest
  @MethodSource("messageNames")
  void commandsMatchGoldenFiles(String name) {
    GoldenFile.assertHolds(file(name), messages().get(name));
  }
}
