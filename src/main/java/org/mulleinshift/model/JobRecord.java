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
 * The stored record of an accepted job.
 *
 * <p>The record of a job with dependencies has no {@code at} where others have it: builds that
 * don't know dependencies quarantine such a job, instead of running it too early.
 *
 * @param acceptedMillis time of day at which it was accepted
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
  private static final String DEPENDENCIES = "chain";
  private static final String SPEC = "spec";
  private static final String CANCELLED = "cancelled";
  private static final String PHASE = "phase";

  /** What a job whose record can't be read may use at most, as far as can be read. */
  public record Footprint(Optional<TeamId> team, Resources maximum) {}

  /** The record of a job without dependencies and unknown fields. */
  public JobRecord(JobSpec spec, long acceptedMillis, boolean cancelled, Revision revision) {
    this(spec, JobDependencies.NONE, acceptedMillis, cancelled, revision, Optional.empty());
  }

  /** The stored form of a record. */
  public static JsonNode value(
      JobSpec spec, JobDependencies dependencies, long acceptedMillis, boolean cancelled) {
    ObjectNode node = Json.object();
    node.set(SPEC, JobCodec.writeSubmission(spec));
    if (dependencies.isEmpty()) {
      node.put(AT, acceptedMillis);
    } else {
      ObjectNode dependenciesNode = node.putObject(DEPENDENCIES);
      dependenciesNode.put(AT, acceptedMillis);
      dependencies.write(dependenciesNode);
    }
    node.put(CANCELLED, cancelled);
    return node;
  }

  /** The stored form of the same job, cancelled, with the unknown fields of the stored one. */
  public JsonNode cancelledValue() {
    JsonNode node = value(spec, dependencies, acceptedMillis, true);
    unknownFields.ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** Reads a record; empty if this build can't read it: then it may not act on the job. */
  public static Optional<JobRecord> read(KeyValue item) {
    JsonNode value = item.value();
    try {
      JobSpec spec = JobCodec.parseSubmission(value.path(SPEC));
      boolean hasDependencies = value.has(DEPENDENCIES);
      JsonNode dependenciesNode = value.path(DEPENDENCIES);
      JobDependencies dependencies =
          hasDependencies ? JobDependencies.read(dependenciesNode) : JobDependencies.NONE;
      long acceptedMillis =
          Json.count(hasDependencies ? dependenciesNode : value, AT, 0, Long.MAX_VALUE);
      boolean cancelled = Json.flag(value, CANCELLED);
      return Optional.of(
          new JobRecord(
              spec,
              dependencies,
              acceptedMillis,
              cancelled,
              item.revision(),
              UnknownFields.find(value(spec, dependencies, acceptedMillis, cancelled), value)));
    } catch (MalformedMessageException e) {
      LOG.warn("stored record unreadable, key={} reason={}", item.key(), e.getMessage());
      return Optional.empty();
    }
  }

  /** What can be read of an unreadable record: which team's quota its tasks count against. */
  public static Footprint footprint(JsonNode value) {
    JsonNode spec = value.path(SPEC);
    return new Footprint(JobCodec.findTeam(spec), JobCodec.maximumResources(spec));
  }

  /**
   * The stored form of a job's end.
   *
   * @param atMillis time of day of the end, for jobs that depend on it; older builds leave it out
   */
  public static JsonNode endedValue(JobPhase phase, long atMillis) {
    return Json.object().put(PHASE, phase.wireName()).put(AT, atMillis);
  }

  /** The time of day of a job's end, if the build that stored it wrote one. */
  public static OptionalLong endedMillis(KeyValue item) {
    JsonNode at = item.value().path(AT);
    return at.canConvertToLong() ? OptionalLong.of(at.asLong()) : OptionalLong.empty();
  }

  /** How a job ended; empty for a phase that this build doesn't know. */
  public static Optional<JobPhase> endedPhase(KeyValue item) {
    String phase = item.value().path(PHASE).asText();
    for (JobPhase known : JobPhase.values()) {
      if (known.isTerminal() && known.wireName().equals(phase)) {
        return Optional.of(known);
      }
    }
    LOG.warn("stored phase unknown, key={} phase={}", item.key(), phase);
    return Optional.empty();
  }

  /** The job's id. */
  public JobId id() {
    return spec.id();
  }
}
