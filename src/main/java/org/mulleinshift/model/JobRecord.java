package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.TeamId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An accepted job as the state service keeps it.
 *
 * <p>The record of a job that awaits others has no {@code at} where others have it: builds that
 * don't know chains set such a job aside whole, instead of running it too early.
 *
 * @param unknownFields fields of the record that this build doesn't know, to be kept when it is
 *     rewritten
 */
public record JobRecord(
    JobSpec spec,
    JobDependencies dependencies,
    long acceptedMillis,
    boolean cancelled,
    Revision revision,
    Optional<UnknownFields> unknownFields) {
  private static final Logger LOG = LoggerFactory.getLogger(JobRecord.class);
  private static final String AT = "at";
  private static final String CHAIN = "chain";

  /** What a job whose record can't be read may have out, as far as can be told. */
  public record Footprint(Optional<TeamId> team, Resources maximum) {}

  public JobRecord(JobSpec spec, long acceptedMillis, boolean cancelled, Revision version) {
    this(spec, JobDependencies.NONE, acceptedMillis, cancelled, version, Optional.empty());
  }

  public static JsonNode value(
      JobSpec spec, JobDependencies awaits, long acceptedMillis, boolean cancelled) {
    ObjectNode node = Json.object();
    node.set("spec", JobCodec.write(spec));
    if (awaits.isEmpty()) {
      node.put(AT, acceptedMillis);
    } else {
      ObjectNode chain = node.putObject(CHAIN);
      chain.put(AT, acceptedMillis);
      awaits.write(chain);
    }
    node.put("cancelled", cancelled);
    return node;
  }

  /** The record of the same job, cancelled; with all that the stored one has beyond this build. */
  public JsonNode cancelledValue() {
    JsonNode node = value(spec, dependencies, acceptedMillis, true);
    unknownFields.ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** None if this build can't read it: then the job isn't its to judge. */
  public static Optional<JobRecord> read(KeyValue item) {
    JsonNode value = item.value();
    try {
      JobSpec spec = JobCodec.parse(value.path("spec"));
      boolean chained = value.has(CHAIN);
      JsonNode chain = value.path(CHAIN);
      JobDependencies awaits = chained ? JobDependencies.read(chain) : JobDependencies.NONE;
      long at = Json.count(chained ? chain : value, AT, 0, Long.MAX_VALUE);
      boolean cancelled = Json.flag(value, "cancelled");
      return Optional.of(
          new JobRecord(
              spec,
              awaits,
              at,
              cancelled,
              item.revision(),
              UnknownFields.beyond(value(spec, awaits, at, cancelled), value)));
    } catch (MalformedMessageException e) {
      LOG.warn("{}: this build can't read it: {}", item.key(), e.getMessage());
      return Optional.empty();
    }
  }

  /** What of an unreadable record can be read: whose limit its tasks count against. */
  public static Footprint footprint(JsonNode value) {
    JsonNode spec = value.path("spec");
    Resources task =
        new Resources(
            Math.max(0, spec.path("cpus").asDouble()),
            Math.max(0, spec.path("cards").asDouble()),
            Math.max(0, spec.path("ram_gb").asDouble()));
    return new Footprint(
        spec.path("crew").isTextual()
            ? Optional.of(new TeamId(spec.path("crew").asText()))
            : Optional.empty(),
        task.times(Math.max(0, spec.path("pieces").asInt())));
  }

  /** When it ended is for jobs that await it; older builds leave it out. */
  public static JsonNode endedValue(JobPhase phase, long atMillis) {
    return Json.object().put("phase", phase.wire()).put(AT, atMillis);
  }

  public static OptionalLong endedMillis(KeyValue item) {
    JsonNode at = item.value().path(AT);
    return at.canConvertToLong() ? OptionalLong.of(at.asLong()) : OptionalLong.empty();
  }

  /** None for a phase that this build doesn't know: it is neither done nor cancelled for it. */
  public static Optional<JobPhase> endedPhase(KeyValue item) {
    String phase = item.value().path("phase").asText();
    for (JobPhase known : JobPhase.values()) {
      if (known.terminal() && known.wire().equals(phase)) {
        return Optional.of(known);
      }
    }
    LOG.warn("{}: this build doesn't know how that job ended: {}", item.key(), phase);
    return Optional.empty();
  }

  public JobId id() {
    return spec.id();
  }
}
