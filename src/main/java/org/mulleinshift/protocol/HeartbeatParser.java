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
 * Parses a worker's heartbeat from a stream of JSON tokens. Heartbeats are the most frequent
 * messages that a controller receives, so no tree is built for them. Unknown fields are skipped; a
 * field that occurs twice is an error.
 */
final class HeartbeatParser {
  private static final double MAX_NOTICE_SECONDS = 1e9;
  private static final int MILLIS_PER_SECOND = 1000;

  /** Initial capacity of the list of tasks. */
  private static final int EXPECTED_TASKS = 8;

  /** Value of a numeric field that has not been read; valid numbers are not negative. */
  private static final long UNSET = -1;

  private final JsonParser in;
  private final Set<String> seenFields = new HashSet<>();
  private String machine;
  private String address;
  private String type;
  private String zone;
  private Boolean spot;
  private long epoch = UNSET;
  private long sequence = UNSET;
  private long token = UNSET;
  private Optional<Duration> interruptionNotice = Optional.empty();
  private List<WorkerHeartbeat.ReportedTask> tasks;

  private HeartbeatParser(JsonParser in) {
    this.in = in;
  }

  /**
   * Parses a heartbeat.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  static WorkerHeartbeat parse(String body) throws MalformedMessageException {
    try (JsonParser in = Json.parser(body)) {
      return new HeartbeatParser(in).parseHeartbeat();
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  private WorkerHeartbeat parseHeartbeat() throws IOException, MalformedMessageException {
    if (in.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedMessageException("not an object");
    }
    for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
      in.nextToken();
      readField(key);
      requireNotSeen(key);
    }
    if (!in.hasToken(JsonToken.END_OBJECT) || in.nextToken() != null) {
      throw new MalformedMessageException("not JSON");
    }
    if (tasks == null) {
      throw new MalformedMessageException("pieces is missing");
    }
    return new WorkerHeartbeat(
        new MachineId(requireGiven(machine, WireNames.MACHINE)),
        requireGiven(address, WireNames.ADDRESS),
        new MachineTypeId(requireGiven(type, WireNames.MACHINE_TYPE)),
        new ZoneId(requireGiven(zone, WireNames.ZONE)),
        requireGiven(spot, WireNames.SPOT),
        new HeartbeatVersion(
            requireGiven(epoch, WireNames.WORKER_EPOCH),
            requireGiven(sequence, WireNames.HEARTBEAT_SEQUENCE)),
        new FencingToken(requireGiven(token, WireNames.FENCING_TOKEN)),
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
      case WireNames.INTERRUPTION_SECONDS -> interruptionNotice = parseInterruptionNotice(key);
      case WireNames.TASKS -> tasks = parseTasks();
      default -> in.skipChildren();
    }
  }

  private List<WorkerHeartbeat.ReportedTask> parseTasks()
      throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.START_ARRAY)) {
      throw new MalformedMessageException("pieces is missing");
    }
    List<WorkerHeartbeat.ReportedTask> parsed = new ArrayList<>(EXPECTED_TASKS);
    while (in.nextToken() != JsonToken.END_ARRAY) {
      parsed.add(parseTask());
    }
    return parsed;
  }

  private WorkerHeartbeat.ReportedTask parseTask() throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.START_OBJECT)) {
      throw new MalformedMessageException("piece is missing or not a short text");
    }
    TaskId task = null;
    long attempt = UNSET;
    WorkerHeartbeat.TaskState state = null;
    WorkerHeartbeat.ExitCause cause = null;
    for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
      in.nextToken();
      switch (key) {
        case WireNames.TASK -> task = requireUnset(task, parseTaskId(text(key)), key);
        case WireNames.ATTEMPT -> {
          requireUnset(attempt, key);
          attempt = count(key);
        }
        case WireNames.PHASE -> state = requireUnset(state, WorkerCodec.parseState(text(key)), key);
        case WireNames.EXIT_CAUSE -> cause = requireUnset(cause, parseExitCause(key), key);
        default -> in.skipChildren();
      }
    }
    return new WorkerHeartbeat.ReportedTask(
        requireGiven(task, WireNames.TASK),
        new Attempt(requireGiven(attempt, WireNames.ATTEMPT)),
        requireGiven(state, WireNames.PHASE),
        cause == null ? WorkerHeartbeat.ExitCause.NONE : cause);
  }

  private WorkerHeartbeat.ExitCause parseExitCause(String key)
      throws IOException, MalformedMessageException {
    return in.hasToken(JsonToken.VALUE_NULL)
        ? WorkerHeartbeat.ExitCause.NONE
        : WorkerCodec.parseExitCause(text(key));
  }

  private static TaskId parseTaskId(String name) throws MalformedMessageException {
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

  private Optional<Duration> parseInterruptionNotice(String key)
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

  private void requireNotSeen(String key) throws MalformedMessageException {
    if (!seenFields.add(key)) {
      throw new MalformedMessageException(key + " is given twice");
    }
  }

  private static void requireUnset(long previous, String key) throws MalformedMessageException {
    if (previous != UNSET) {
      throw new MalformedMessageException(key + " is given twice");
    }
  }

  private static <T> T requireUnset(T previous, T value, String key)
      throws MalformedMessageException {
    if (previous != null) {
      throw new MalformedMessageException(key + " is given twice");
    }
    return value;
  }

  private static <T> T requireGiven(T value, String key) throws MalformedMessageException {
    if (value == null) {
      throw new MalformedMessageException(key + " is missing");
    }
    return value;
  }

  private static long requireGiven(long value, String key) throws MalformedMessageException {
    if (value == UNSET) {
      throw new MalformedMessageException(key + " is missing or out of range");
    }
    return value;
  }
}
