package org.mulleinshift.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Messages of users: reads submissions and writes responses. Stored job records hold the job in the
 * form of its submission.
 */
public final class JobCodec {
  /** Path of submissions; the path of a job appends a slash and its id. */
  public static final String JOBS_PATH = "/v2/runs";

  private static final Pattern ID = Pattern.compile("run-[0-9A-Za-z_.-]{1,64}");
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_MACHINE_TYPES = 64;

  private JobCodec() {}

  /** Whether the text has the form of a job id. */
  public static boolean isJobId(String text) {
    return ID.matcher(text).matches();
  }

  /**
   * Returns the job id of a submission whose other fields may be invalid; empty if the id is
   * missing or invalid.
   */
  public static Optional<JobId> findJobId(JsonNode submission) {
    String id = submission.path(WireNames.ID).asText("");
    return isJobId(id) ? Optional.of(new JobId(id)) : Optional.empty();
  }

  /**
   * Returns the team of a submission whose other fields may be invalid; empty if it is missing or
   * not a text.
   */
  public static Optional<TeamId> findTeam(JsonNode submission) {
    return Optional.of(submission.path(WireNames.TEAM))
        .filter(JsonNode::isTextual)
        .map(team -> new TeamId(team.asText()));
  }

  /**
   * Returns the resources of all tasks of a submission together; missing and invalid fields count
   * as 0.
   */
  public static Resources totalResources(JsonNode submission) {
    Resources task =
        new Resources(
            Math.max(0, submission.path(WireNames.CPUS).asDouble()),
            Math.max(0, submission.path(WireNames.GPUS).asDouble()),
            Math.max(0, submission.path(WireNames.MEMORY_GB).asDouble()));
    return task.times(Math.max(0, submission.path(WireNames.TASKS).asInt()));
  }

  /**
   * Parses a submission without its dependencies, see {@link #parseDependencies}.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static JobSpec parseSubmission(JsonNode node) throws MalformedMessageException {
    String id = Json.text(node, WireNames.ID);
    if (!isJobId(id)) {
      throw new MalformedMessageException("ref is not a job id");
    }
    Resources perTask =
        new Resources(
            Json.amount(node, WireNames.CPUS),
            Json.amount(node, WireNames.GPUS),
            Json.amount(node, WireNames.MEMORY_GB));
    return new JobSpec(
        new JobId(id),
        Json.text(node, WireNames.JOB_CLASS),
        new TeamId(Json.text(node, WireNames.TEAM)),
        oneOf(node, WireNames.JOB_KIND, JobKind.values(), JobKind::wireName),
        oneOf(node, WireNames.PRIORITY, Priority.values(), Priority::wireName),
        (int) Json.count(node, WireNames.TASKS, 1, MAX_TASKS),
        perTask,
        Json.text(node, WireNames.IMAGE),
        Json.amount(node, WireNames.IMAGE_GB),
        machineTypes(node),
        zone(node),
        Json.flag(node, WireNames.SINGLE_ZONE),
        Json.flag(node, WireNames.SPREAD),
        Json.flag(node, WireNames.SPOT),
        Json.amount(node, WireNames.ESTIMATE_SECONDS),
        Json.amount(node, WireNames.CHECKPOINT_INTERVAL_SECONDS),
        Json.amount(node, WireNames.SAVE_SECONDS),
        node.hasNonNull(WireNames.DEADLINE_SECONDS)
            ? OptionalDouble.of(Json.amount(node, WireNames.DEADLINE_SECONDS))
            : OptionalDouble.empty());
  }

  /**
   * Parses the jobs that a submission depends on; empty if the field is missing. Duplicates are
   * dropped.
   *
   * @throws MalformedMessageException if the field is not a list of job ids
   */
  public static List<JobId> parseDependencies(JsonNode node) throws MalformedMessageException {
    if (!node.hasNonNull(WireNames.DEPENDENCIES)) {
      return List.of();
    }
    return parseJobIds(node.get(WireNames.DEPENDENCIES));
  }

  /**
   * Parses a list of job ids, in its order and without duplicates.
   *
   * @throws MalformedMessageException if the node is not a list of job ids
   */
  public static List<JobId> parseJobIds(JsonNode list) throws MalformedMessageException {
    if (!list.isArray()) {
      throw new MalformedMessageException("awaits is not a list");
    }
    Set<JobId> jobs = new LinkedHashSet<>();
    for (JsonNode name : list) {
      if (!name.isTextual() || !isJobId(name.asText())) {
        throw new MalformedMessageException("awaits holds something else than job ids");
      }
      jobs.add(new JobId(name.asText()));
    }
    return List.copyOf(jobs);
  }

  private static <T> T oneOf(JsonNode node, String key, T[] values, Function<T, String> wireName)
      throws MalformedMessageException {
    String text = Json.text(node, key);
    for (T value : values) {
      if (wireName.apply(value).equals(text)) {
        return value;
      }
    }
    throw new MalformedMessageException(key + " is not one of the known values");
  }

  private static Optional<List<MachineTypeId>> machineTypes(JsonNode node)
      throws MalformedMessageException {
    if (!node.hasNonNull(WireNames.MACHINE_TYPES)) {
      return Optional.empty();
    }
    JsonNode list = node.get(WireNames.MACHINE_TYPES);
    if (!list.isArray() || list.size() > MAX_MACHINE_TYPES) {
      throw new MalformedMessageException("builds is not a short list");
    }
    List<MachineTypeId> types = new ArrayList<>();
    for (JsonNode type : list) {
      if (!type.isTextual() || type.asText().length() > Json.MAX_NAME_LENGTH) {
        throw new MalformedMessageException("builds holds something else than names");
      }
      types.add(new MachineTypeId(type.asText()));
    }
    return Optional.of(List.copyOf(types));
  }

  private static Optional<ZoneId> zone(JsonNode node) throws MalformedMessageException {
    return node.hasNonNull(WireNames.ZONE)
        ? Optional.of(new ZoneId(Json.text(node, WireNames.ZONE)))
        : Optional.empty();
  }

  /** Writes a submission that {@link #parseSubmission(JsonNode)} parses to the same spec. */
  public static ObjectNode writeSubmission(JobSpec spec) {
    ObjectNode node = Json.object();
    node.put(WireNames.ID, spec.id().value());
    node.put(WireNames.JOB_CLASS, spec.jobClass());
    node.put(WireNames.TEAM, spec.team().value());
    node.put(WireNames.JOB_KIND, spec.kind().wireName());
    node.put(WireNames.PRIORITY, spec.priority().wireName());
    node.put(WireNames.TASKS, spec.taskCount());
    node.put(WireNames.CPUS, spec.perTask().cpus());
    node.put(WireNames.GPUS, spec.perTask().gpus());
    node.put(WireNames.MEMORY_GB, spec.perTask().memoryGb());
    node.put(WireNames.IMAGE, spec.image());
    node.put(WireNames.IMAGE_GB, spec.imageGb());
    spec.machineTypes()
        .ifPresent(
            types -> {
              ArrayNode list = node.putArray(WireNames.MACHINE_TYPES);
              types.forEach(type -> list.add(type.value()));
            });
    spec.zone().ifPresent(zone -> node.put(WireNames.ZONE, zone.value()));
    node.put(WireNames.SINGLE_ZONE, spec.requiresSingleZone());
    node.put(WireNames.SPREAD, spec.requiresSpread());
    node.put(WireNames.SPOT, spec.spotAllowed());
    node.put(WireNames.ESTIMATE_SECONDS, spec.estimateSeconds());
    node.put(WireNames.CHECKPOINT_INTERVAL_SECONDS, spec.checkpointIntervalSeconds());
    node.put(WireNames.SAVE_SECONDS, spec.saveSeconds());
    spec.deadlineSeconds().ifPresent(deadline -> node.put(WireNames.DEADLINE_SECONDS, deadline));
    return node;
  }

  /** Writes a job's status; counts of completed and running tasks are omitted if unknown. */
  public static String writeStatus(
      JobId id, JobPhase phase, OptionalInt done, OptionalInt running) {
    ObjectNode node = Json.object();
    node.put(WireNames.ID, id.value());
    node.put(WireNames.PHASE, phase.wireName());
    done.ifPresent(count -> node.put(WireNames.DONE_TASKS, count));
    running.ifPresent(count -> node.put(WireNames.RUNNING_TASKS, count));
    return Json.write(node);
  }

  /** Writes the body of an error response. */
  public static String writeError(String reason) {
    return Json.write(Json.object().put(WireNames.ERROR, reason));
  }
}
