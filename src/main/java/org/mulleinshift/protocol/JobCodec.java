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
import java.util.regex.Pattern;

/**
 * The users' interface: submissions in, job views out. The store keeps submissions the same way.
 */
public final class JobCodec {
  public static final String RUNS = "/v2/runs";
  private static final Pattern ID = Pattern.compile("run-[0-9A-Za-z_.-]{1,64}");
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_TYPES = 64;

  private JobCodec() {}

  public static boolean isJobId(String text) {
    return ID.matcher(text).matches();
  }

  /** The job id of a submission whose other fields may be invalid. */
  public static Optional<JobId> findJobId(JsonNode submission) {
    String id = submission.path("ref").asText("");
    return isJobId(id) ? Optional.of(new JobId(id)) : Optional.empty();
  }

  public static JobSpec parse(JsonNode node) throws MalformedMessageException {
    String id = Json.text(node, "ref");
    if (!isJobId(id)) {
      throw new MalformedMessageException("ref is not a job id");
    }
    Resources perTask =
        new Resources(
            Json.amount(node, "cpus"), Json.amount(node, "cards"), Json.amount(node, "ram_gb"));
    return new JobSpec(
        new JobId(id),
        Json.text(node, "lane"),
        new TeamId(Json.text(node, "crew")),
        oneOf(node, "shape", JobKind.values(), JobKind::wire),
        oneOf(node, "urgency", Priority.values(), Priority::wire),
        (int) Json.count(node, "pieces", 1, MAX_TASKS),
        perTask,
        Json.text(node, "bundle"),
        Json.amount(node, "pull_gb"),
        machineTypes(node),
        zone(node),
        Json.flag(node, "same_place"),
        Json.flag(node, "spread"),
        Json.flag(node, "loaner"),
        Json.amount(node, "guess_s"),
        Json.amount(node, "snapshot_s"),
        Json.amount(node, "flush_s"),
        node.hasNonNull("due_s")
            ? OptionalDouble.of(Json.amount(node, "due_s"))
            : OptionalDouble.empty());
  }

  /** The jobs that a submission awaits, each once. */
  public static List<JobId> awaits(JsonNode node) throws MalformedMessageException {
    if (!node.hasNonNull("awaits")) {
      return List.of();
    }
    return jobIds(node.get("awaits"));
  }

  /** A list of job ids, each once. */
  public static List<JobId> jobIds(JsonNode list) throws MalformedMessageException {
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

  private static <T> T oneOf(
      JsonNode node, String key, T[] values, java.util.function.Function<T, String> wire)
      throws MalformedMessageException {
    String text = Json.text(node, key);
    for (T value : values) {
      if (wire.apply(value).equals(text)) {
        return value;
      }
    }
    throw new MalformedMessageException(key + " is not one of the known values");
  }

  private static Optional<List<MachineTypeId>> machineTypes(JsonNode node)
      throws MalformedMessageException {
    if (!node.hasNonNull("builds")) {
      return Optional.empty();
    }
    JsonNode list = node.get("builds");
    if (!list.isArray() || list.size() > MAX_TYPES) {
      throw new MalformedMessageException("builds is not a short list");
    }
    List<MachineTypeId> types = new ArrayList<>();
    for (JsonNode type : list) {
      if (!type.isTextual() || type.asText().length() > Json.MAX_NAME) {
        throw new MalformedMessageException("builds holds something else than names");
      }
      types.add(new MachineTypeId(type.asText()));
    }
    return Optional.of(List.copyOf(types));
  }

  private static Optional<ZoneId> zone(JsonNode node) throws MalformedMessageException {
    return node.hasNonNull("yard")
        ? Optional.of(new ZoneId(Json.text(node, "yard")))
        : Optional.empty();
  }

  /** The inverse of {@link #parse(JsonNode)}. */
  public static ObjectNode write(JobSpec spec) {
    ObjectNode node = Json.object();
    node.put("ref", spec.id().value());
    node.put("lane", spec.jobClass());
    node.put("crew", spec.team().value());
    node.put("shape", spec.kind().wire());
    node.put("urgency", spec.priority().wire());
    node.put("pieces", spec.tasks());
    node.put("cpus", spec.perTask().cpus());
    node.put("cards", spec.perTask().gpus());
    node.put("ram_gb", spec.perTask().memoryGb());
    node.put("bundle", spec.image());
    node.put("pull_gb", spec.imageGb());
    spec.machineTypes()
        .ifPresent(
            types -> {
              ArrayNode list = node.putArray("builds");
              types.forEach(type -> list.add(type.value()));
            });
    spec.zone().ifPresent(zone -> node.put("yard", zone.value()));
    node.put("same_place", spec.oneZone());
    node.put("spread", spec.spread());
    node.put("loaner", spec.spotAllowed());
    node.put("guess_s", spec.estimateSeconds());
    node.put("snapshot_s", spec.checkpointSeconds());
    node.put("flush_s", spec.saveSeconds());
    spec.deadlineSeconds().ifPresent(deadline -> node.put("due_s", deadline));
    return node;
  }

  public static String view(JobId id, JobPhase phase, OptionalInt done, OptionalInt running) {
    ObjectNode node = Json.object();
    node.put("ref", id.value());
    node.put("phase", phase.wire());
    done.ifPresent(count -> node.put("done", count));
    running.ifPresent(count -> node.put("running", count));
    return Json.write(node);
  }

  public static String error(String why) {
    return Json.write(Json.object().put("error", why));
  }
}
