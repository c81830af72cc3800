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
 * Jobs whose stored form this build can't read: a newer build wrote them, or they are damaged. They
 * are not this build's to judge: nothing stored of them is deleted or written, none of their tasks
 * is started, stopped or forgotten, and what they may take counts as taken. They stay aside until
 * the next term.
 */
public final class UnreadableJobs {
  private static final Logger LOG = LoggerFactory.getLogger(UnreadableJobs.class);

  private final Map<JobId, Footprint> jobs = new LinkedHashMap<>();
  private final Set<ShardId> shards = new HashSet<>();
  private boolean anywhere;

  /** Sets a job aside; one log line for each. */
  public void add(JobId job, JsonNode record, String why) {
    if (jobs.putIfAbsent(job, JobRecord.footprint(record)) == null) {
      LOG.warn("{} can't be read by this build and is left alone: {}", job, why);
    }
  }

  /** Where a job that is set aside may have tasks, by its stored progress. */
  public void addProgress(JsonNode value) {
    JsonNode at = value.path("at");
    if (!at.isArray()) {
      anywhere = true;
      return;
    }
    for (JsonNode item : at) {
      if (item.path("b").isTextual()) {
        addShard(new ShardId(item.path("b").asText()));
      } else {
        anywhere = true;
      }
    }
  }

  public void addShard(ShardId shard) {
    shards.add(shard);
  }

  public boolean contains(JobId job) {
    return jobs.containsKey(job);
  }

  public Set<JobId> jobs() {
    return Collections.unmodifiableSet(jobs.keySet());
  }

  /** Whether tasks that nobody may stop may be on the shard's machines. */
  public boolean mayOccupy(ShardId shard) {
    return !jobs.isEmpty() && (anywhere || shards.contains(shard));
  }

  /** Adds what the jobs may have out to what their teams have. */
  public void addUsage(Map<TeamId, Resources> use) {
    for (Footprint footprint : jobs.values()) {
      footprint.team().ifPresent(team -> use.merge(team, footprint.maximum(), Resources::plus));
    }
  }
}
