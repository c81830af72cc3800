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
 * Reads one worker's report token by token. Reports are what a controller reads most, so no tree is
 * built of them. Fields it does not know are skipped; a field named twice is an error.
 */
final class HeartbeatParser {
  private static final double MAX_RECALL_SECONDS = 1e9;

  private final JsonParser in;
  private final Set<String> seen = new HashSet<>();
  private String machine;
  private String address;
  private String type;
  private String zone;
  private Boolean spot;
  private long epoch = -1;
  private long sequence = -1;
  private long token = -1;
  private Optional<Duration> interruptionNotice = Optional.empty();
  private List<WorkerHeartbeat.Entry> tasks;

  private HeartbeatParser(JsonParser in) {
    this.in = in;
  }

  static WorkerHeartbeat parse(String body) throws MalformedMessageException {
    try (JsonParser in = Json.parser(body)) {
      return new HeartbeatParser(in).report();
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  private WorkerHeartbeat report() throws IOException, MalformedMessageException {
    if (in.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedMessageException("not an object");
    }
    for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
      in.nextToken();
      field(key);
      once(seen, key);
    }
    if (!in.hasToken(JsonToken.END_OBJECT) || in.nextToken() != null) {
      throw new MalformedMessageException("not JSON");
    }
    if (tasks == null) {
      throw new MalformedMessageException("pieces is missing");
    }
    return new WorkerHeartbeat(
        new MachineId(given(machine, "host")),
        given(address, "addr"),
        new MachineTypeId(given(type, "build")),
        new ZoneId(given(zone, "yard")),
        given(spot, "loaner"),
        new HeartbeatVersion(given(epoch, "shift"), given(sequence, "tick")),
        new FencingToken(given(token, "baton")),
        interruptionNotice,
        tasks);
  }

  private void field(String key) throws IOException, MalformedMessageException {
    switch (key) {
      case "host" -> machine = text(key);
      case "addr" -> address = text(key);
      case "build" -> type = text(key);
      case "yard" -> zone = text(key);
      case "loaner" -> spot = flag(key);
      case "shift" -> epoch = count(key);
      case "tick" -> sequence = count(key);
      case "baton" -> token = count(key);
      case "recall_s" -> interruptionNotice = interruptionNotice(key);
      case "pieces" -> tasks = entries();
      default -> in.skipChildren();
    }
  }

  private List<WorkerHeartbeat.Entry> entries() throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.START_ARRAY)) {
      throw new MalformedMessageException("pieces is missing");
    }
    List<WorkerHeartbeat.Entry> found = new ArrayList<>(8);
    while (in.nextToken() != JsonToken.END_ARRAY) {
      found.add(entry());
    }
    return found;
  }

  private WorkerHeartbeat.Entry entry() throws IOException, MalformedMessageException {
    if (!in.hasToken(JsonToken.START_OBJECT)) {
      throw new MalformedMessageException("piece is missing or not a short text");
    }
    TaskId task = null;
    long attempt = -1;
    WorkerHeartbeat.State state = null;
    WorkerHeartbeat.Cause cause = null;
    for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
      in.nextToken();
      switch (key) {
        case "piece" -> task = unset(task, taskId(text(key)), key);
        case "try" -> {
          unset(attempt < 0 ? null : key, key, key);
          attempt = count(key);
        }
        case "phase" -> state = unset(state, WorkerCodec.state(text(key)), key);
        case "cause" -> cause = unset(cause, causeOf(key), key);
        default -> in.skipChildren();
      }
    }
    return new WorkerHeartbeat.Entry(
        given(task, "piece"),
        new Attempt(given(attempt, "try")),
        given(state, "phase"),
        cause == null ? WorkerHeartbeat.Cause.NONE : cause);
  }

  private WorkerHeartbeat.Cause causeOf(String key) throws IOException, MalformedMessageException {
    return in.hasToken(JsonToken.VALUE_NULL)
        ? WorkerHeartbeat.Cause.NONE
        : WorkerCodec.cause(text(key));
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
    if (!(seconds >= 0 && seconds <= MAX_RECALL_SECONDS)) {
      throw new MalformedMessageException(key + " is missing or not an amount");
    }
    return Optional.of(Duration.ofMillis((long) (seconds * 1000)));
  }

  private String text(String key) throws IOException, MalformedMessageException {
    String value = in.hasToken(JsonToken.VALUE_STRING) ? in.getText() : "";
    if (value.isEmpty() || value.length() > Json.MAX_NAME) {
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

  private static void once(Set<String> seen, String key) throws MalformedMessageException {
    if (!seen.add(key)) {
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
    if (value < 0) {
      throw new MalformedMessageException(key + " is missing or out of range");
    }
    return value;
  }
}
