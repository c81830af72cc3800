package org.mulleinshift.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.JobRecord.Footprint;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TeamId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jobs whose stored form this build can't read: a newer build wrote them, or they are damaged. This
 * build can't judge them: nothing stored of them is deleted or written, none of their tasks is
 * started, stopped or forgotten, and the resources that they may use count as used. They stay
 * quarantined until the next term.
 */
public final class UnreadableJobs {
  private static final Logger LOG = LoggerFactory.getLogger(UnreadableJobs.class);

  private final Map<JobId, Footprint> footprints = new LinkedHashMap<>();
  private final Set<ShardId> possibleShards = new HashSet<>();
  private boolean mayHaveTasksAnywhere;

  /**
   * Quarantines a job; logged once for each.
   *
   * @param record the stored record
   * @param reason what can't be read, for the log
   */
  public void quarantine(JobId job, JsonNode record, String reason) {
    if (footprints.putIfAbsent(job, JobRecord.footprint(record)) == null) {
      LOG.warn("job quarantined as unreadable, job={} reason={}", job, reason);
    }
  }

  /** Records where a quarantined job may have tasks, by a chunk of its stored progress. */
  public void addShardsFromProgress(JsonNode chunk) {
    JsonNode assignments = chunk.path("at");
    if (!assignments.isArray()) {
      mayHaveTasksAnywhere = true;
      return;
    }
    for (JsonNode assignment : assignments) {
      if (assignment.path("b").isTextual()) {
        addShard(new ShardId(assignment.path("b").asText()));
      } else {
        mayHaveTasksAnywhere = true;
      }
    }
  }

  /** A quarantined job may have tasks in that shard. */
  public void addShard(ShardId shard) {
    possibleShards.add(shard);
  }

  /** Whether the job is quarantined. */
  public boolean contains(JobId job) {
    return footprints.containsKey(job);
  }

  /** All quarantined jobs. */
  public Set<JobId> jobs() {
    return Collections.unmodifiableSet(footprints.keySet());
  }

  /**
   * Whether tasks of quarantined jobs, which must not be stopped, may be on the shard's machines.
   */
  public boolean mayHaveTasksIn(ShardId shard) {
    return !footprints.isEmpty() && (mayHaveTasksAnywhere || possibleShards.contains(shard));
  }

  /** Adds what the quarantined jobs may use to the usage of their teams. */
  public void addUsage(Map<TeamId, Resources> usage) {
    for (Footprint footprint : footprints.values()) {
      footprint.team().ifPresent(team -> usage.merge(team, footprint.maximum(), Resources::plus));
    }
  }
}
