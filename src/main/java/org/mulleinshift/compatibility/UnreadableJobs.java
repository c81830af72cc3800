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
 * Quarantined jobs: this build can't read their stored records, because a newer build wrote them or
 * they are corrupt. Their stored data is neither changed nor deleted, none of their tasks is
 * started, stopped or dropped, and the resources that they may use count as used. They stay
 * quarantined until the next term.
 */
public final class UnreadableJobs {
  private static final Logger LOG = LoggerFactory.getLogger(UnreadableJobs.class);

  private final Map<JobId, Footprint> footprints = new LinkedHashMap<>();
  private final Set<ShardId> possibleShards = new HashSet<>();
  private boolean mayHaveTasksAnywhere;

  /**
   * Quarantines a job; logs it the first time.
   *
   * @param record the stored record
   * @param reason why it can't be read, for the log
   */
  public void quarantine(JobId job, JsonNode record, String reason) {
    if (footprints.putIfAbsent(job, JobRecord.footprint(record)) == null) {
      LOG.warn("job quarantined as unreadable, job={} reason={}", job, reason);
    }
  }

  /**
   * Adds the shards in which a quarantined job may have tasks, according to a chunk of its stored
   * progress. If the chunk doesn't show them, the job may have tasks in any shard.
   */
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

  /** Adds a shard in which a quarantined job may have tasks. */
  public void addShard(ShardId shard) {
    possibleShards.add(shard);
  }

  /** Returns whether the job is quarantined. */
  public boolean contains(JobId job) {
    return footprints.containsKey(job);
  }

  /** Returns an unmodifiable view of all quarantined jobs. */
  public Set<JobId> jobs() {
    return Collections.unmodifiableSet(footprints.keySet());
  }

  /**
   * Returns whether the shard's machines may run tasks of quarantined jobs, which must not be
   * stopped.
   */
  public boolean mayHaveTasksIn(ShardId shard) {
    return !footprints.isEmpty() && (mayHaveTasksAnywhere || possibleShards.contains(shard));
  }

  /** Adds the maximum resources of the quarantined jobs to their teams' usage. */
  public void addUsage(Map<TeamId, Resources> usage) {
    for (Footprint footprint : footprints.values()) {
      footprint.team().ifPresent(team -> usage.merge(team, footprint.maximum(), Resources::plus));
    }
  }
}
