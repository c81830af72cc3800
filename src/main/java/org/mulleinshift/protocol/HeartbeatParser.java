package org.mulleinshift.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reads one worker's heartbeat token by token. Heartbeats are what a controller reads most, so no
 * tree is built of them. Unknown fields are skipped; a field that occurs twice is an error.
 */
final class HeartbeatParser {
  private static final double MAX_NOTICE_SECONDS = 1e9;
  private static final int MILLIS_PER_SECOND = 1000;

  /** Initial capacity of the list of tasks. */
  private static final int EXPECTED_TASKS = 8;

  /** Stands for a number that the heartbeat did not give: the valid ones are not negative. */
  private static final long NOT_GIVEN = -1;

  private final JsonParser in;
  private final Set<String> seenFields = new HashSet<>();
  private String machine;
  private String address;
  private String type;
  private String zone;
  private Boolean spot;
  private long epoch = NOT_GIVEN;
  private long sequence = NOT_GIVEN;
  private long token = NOT_GIVEN;
  private Optional<Duration> interruptionNotice = Optional.empty();
  private List<WorkerHeartbeat.ReportedTask> tasks;

  private HeartbeatParser(JsonParser in) {
    this.in = in;
  }

  /**
   * Reads a heartbeat.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  static WorkerHeartbeat parse(String body) throws MalformedMessageException {
    try (JsonParser in = Json.parser(body)) {
      return new HeartbeatParser(in).heartbeat();
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  private WorkerHeartbeat heartbeat() throws IOException, MalformedMessageException {
    if (in.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedMessageException("not an object");
    }
    for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
      in.nextToken();
      readField(key);
      requireFirst(key);
    }
    if (!in.hasToken(JsonToken.END_OBJECT) || in.nextToken() != null) {
      throw new MalformedMessageException("not JSON");
    }
    if (tasks == null) {
      throw new MalformedMessageException("pieces is missing");
    }
    return new WorkerHeartbeat(
        new MachineId(given(machine, WireNames.MACHINE)),
        given(address, WireNames.ADDRESS),
        new MachineTypeId(given(type, WireNames.MACHINE_TYPE)),
        new ZoneId(given(zone, WireNames.ZONE)),
        given(spot, WireNames.SPOT),
        new HeartbeatVersion(
            given(epoch, WireNames.WORKER_EPOCH), given(sequence, WireNames.HEARTBEAT_SEQUENCE)),
        new FencingToken(given(token, WireNames.FENCING_TOKEN)),
        interruptionNotice,
        tasks);
  }

  private void readField(String key) throws IOException, MalformedMessageException {
    switch (key) {
      case WireNames.MACHINE -> machine = text(key);
      case WireNames.ADDRESS -> address = text(key);
      case WireNames.MACHINE_TYPE -> type = text(key);
      case WireNames.ZONE -> zone = text(key);
      case WireNames.SPOT -> spot = flag(key);
      case WireNames.WORKER_EPOCH -> epoch = count(key);
      case WireNames.HEARTBEAT_SEQUENCE -> sequence = count(key);
      case WireNames.FENCING_TOKEN -> token = count(key);
      case WireNames.INTERRUPTION_SECONDS -> interruptionNotice = interruptionNotice(key);
      case WireNames.TASKS -> tasks = entries();
      default -> in.skipChildren();
    }
  }

  private List<WorkerHeartbeat.ReportedTask> entries()
      throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.START_ARRAY)) {
      throw new MalformedMessageException("pieces is missing");
    }
    List<WorkerHeartbeat.ReportedTask> found = new ArrayList<>(EXPECTED_TASKS);
    while (in.nextToken() != JsonToken.END_ARRAY) {
      found.add(entry());
    }
    return found;
  }

  private WorkerHeartbeat.ReportedTask entry() throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.START_OBJECT)) {
      throw new MalformedMessageException("piece is missing or not a short text");
    }
    TaskId task = null;
    long attempt = NOT_GIVEN;
    WorkerHeartbeat.TaskState state = null;
    WorkerHeartbeat.ExitCause cause = null;
    for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
      in.nextToken();
      switch (key) {
        case WireNames.TASK -> task = unset(task, taskId(text(key)), key);
        case WireNames.ATTEMPT -> {
          requireNotGiven(attempt, key);
          attempt = count(key);
        }
        case WireNames.PHASE -> state = unset(state, WorkerCodec.parseState(text(key)), key);
        case WireNames.EXIT_CAUSE -> cause = unset(cause, causeOf(key), key);
        default -> in.skipChildren();
      }
    }
    return new WorkerHeartbeat.ReportedTask(
        given(task, WireNames.TASK),
        new Attempt(given(attempt, WireNames.ATTEMPT)),
        given(state, WireNames.PHASE),
        cause == null ? WorkerHeartbeat.ExitCause.NONE : cause);
  }

  private WorkerHeartbeat.ExitCause causeOf(String key)
      throws IOException, MalformedMessageException {
    return in.hasToken(JsonToken.VALUE_NULL)
        ? WorkerHeartbeat.ExitCause.NONE
        : WorkerCodec.parseExitCause(text(key));
  }

  private static TaskId taskId(String name) throws MalformedMessageException {
    int slash = name.lastIndexOf('/');
    int index;
    try {
      index = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("piece is not a task id");
    }
    if (slash <= 0 || index < 0) {
      throw new MalformedMessageException("piece is not a task id");
    }
    return new TaskId(new JobId(name.substring(0, slash)), index);
  }

  private Optional<Duration> interruptionNotice(String key)
      throws IOException, MalformedMessageException {
    if (in.hasToken(JsonToken.VALUE_NULL)) {
      return Optional.empty();
    }
    double seconds = in.currentToken().isNumeric() ? in.getDoubleValue() : Double.NaN;
    if (!(seconds >= 0 && seconds <= MAX_NOTICE_SECONDS)) {
      throw new MalformedMessageException(key + " is missing or not an amount");
    }
    return Optional.of(Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND)));
  }

  private String text(String key) throws IOException, MalformedMessageException {
    String value = in.hasToken(JsonToken.VALUE_STRING) ? in.getText() : "";
    if (value.isEmpty() || value.length() > Json.MAX_NAME_LENGTH) {
      throw new MalformedMessageException(key + " is missing or not a short text");
    }
    return value;
  }

  private long count(String key) throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.VALUE_NUMBER_INT)
        || in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || in.getLongValue() < 0) {
      throw new MalformedMessageException(key + " is missing or out of range");
    }
    return in.getLongValue();
  }

  private boolean flag(String key) throws MalformedMessageException {
    if (!in.currentToken().isBoolean()) {
      throw new MalformedMessageException(key + " is missing or not a boolean");
    }
    return in.hasToken(JsonToken.VALUE_TRUE);
  }

  private void requireFirst(String key) throws MalformedMessageException {
    if (!seenFields.add(key)) {
      throw new MalformedMessageException(key + " is given twice");
    }
  }

  private static void requireNotGiven(long before, String key) throws MalformedMessageException {
    if (before != NOT_GIVEN) {
      throw new MalformedMessageException(key + " is given twice");
    }
  }

  private static <T> T unset(T before, T now, String key) throws MalformedMessageException {
    if (before != null) {
      throw new MalformedMessageException(key + " is given twice");
    }
    return now;
  }

  private static <T> T given(T value, String key) throws MalformedMessageException {
    if (value == null) {
      throw new MalformedMessageException(key + " is missing");
    }
    return value;
  }

  private static long given(long value, String key) throws MalformedMessageException {
    if (value == NOT_GIVEN) {
      throw new MalformedMessageException(key + " is missing or out of range");
    }
    return value;
  }
}
