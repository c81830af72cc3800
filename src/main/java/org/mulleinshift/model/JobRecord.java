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
 * <p>In the record of a job with dependencies, {@code at} is nested in their object instead of
 * being a field of the record itself. Builds that don't know dependencies therefore quarantine the
 * job as unreadable instead of running it too early.
 *
 * @param acceptedMillis wall-clock time at which the job was accepted
 * @param unknownFields fields that this build doesn't know; kept when the record is rewritten
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

  /** The team, if readable, and the most resources that a job with an unreadable record may use. */
  public record Footprint(Optional<TeamId> team, Resources maximum) {}

  /** Creates the record of a job without dependencies or unknown fields. */
  public JobRecord(JobSpec spec, long acceptedMillis, boolean cancelled, Revision revision) {
    this(spec, JobDependencies.NONE, acceptedMillis, cancelled, revision, Optional.empty());
  }

  /** Returns the stored form of an accepted job. */
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

  /** Returns the stored form of this job as cancelled, keeping the unknown fields. */
  public JsonNode cancelledValue() {
    JsonNode node = value(spec, dependencies, acceptedMillis, true);
    unknownFields.ifPresent(fields -> fields.restore(node));
    return node;
  }

  /** Reads a record; empty if this build can't read it and so must not act on the job. */
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

  /** Reads from an unreadable record which team's quota its tasks count against, and how much. */
  public static Footprint footprint(JsonNode value) {
    JsonNode spec = value.path(SPEC);
    return new Footprint(JobCodec.findTeam(spec), JobCodec.totalResources(spec));
  }

  /**
   * Returns the stored form of a job's end.
   *
   * @param atMillis wall-clock time of the end, used for jobs that depend on it; older builds leave
   *     it out
   */
  public static JsonNode endedValue(JobPhase phase, long atMillis) {
    return Json.object().put(PHASE, phase.wireName()).put(AT, atMillis);
  }

  /** Reads the wall-clock time of a job's end; empty if an older build stored it without one. */
  public static OptionalLong endedMillis(KeyValue item) {
    JsonNode at = item.value().path(AT);
    return at.canConvertToLong() ? OptionalLong.of(at.asLong()) : OptionalLong.empty();
  }

  /** Reads the phase in which a job ended; empty if it is not a terminal phase that is known. */
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

  /** Returns the id of the job. */
  public JobId id() {
    return spec.id();
  }
}
