package org.mulleinshift.store;

import java.util.OptionalInt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;

/**
 * The layout of the state service.
 *
 * <ul>
 *   <li>{@code c/leader} the leading controller, bound to its lease
 *   <li>{@code c/n/NODE} a controller's session lease
 *   <li>{@code c/g/SHARD} who holds a shard, bound to the owner's session lease
 *   <li>{@code c/b/SHARD} a shard's zone and machines
 *   <li>{@code a/JOB} an accepted job that is not over, or is cancelled but not yet gone
 *   <li>{@code t/JOB} how a job ended; never removed
 *   <li>{@code p/JOB/CHUNK} done and assigned tasks of a part of a job
 *   <li>{@code p/JOB/CHUNK/PATH} the same of a part of a chunk that was too long for a value
 *   <li>{@code l/NUMBER} a slot of the progress log: progress of parts of several jobs
 *   <li>{@code w/JOB/DIGEST/N} a list of jobs that a job awaits, where its record could not hold it
 *   <li>{@code r/NAME} a rental asked for and not yet answered
 *   <li>{@code c/v/NODE} which build the controller has shown
 * </ul>
 */
public final class StoreKeys {
  public static final String CONTROL = "c/";
  public static final String LEADER = "c/leader";
  public static final String NODES = "c/n/";
  public static final String GRANTS = "c/g/";
  public static final String SHARDS = "c/b/";
  public static final String ACTIVE_JOBS = "a/";
  public static final String ENDED_JOBS = "t/";
  public static final String PROGRESS = "p/";
  public static final String PROGRESS_LOG = "l/";
  public static final String PROVISIONING_REQUESTS = "r/";
  public static final String DEPENDENCY_LISTS = "w/";
  public static final String FEATURE_LEVELS = "c/v/";

  private StoreKeys() {}

  public static String node(NodeId node) {
    return NODES + node;
  }

  public static String grant(ShardId shard) {
    return GRANTS + shard;
  }

  public static String shard(ShardId shard) {
    return SHARDS + shard;
  }

  public static String activeJob(JobId job) {
    return ACTIVE_JOBS + job;
  }

  public static String endedJob(JobId job) {
    return ENDED_JOBS + job;
  }

  public static String logSegment(int number) {
    return PROGRESS_LOG + number;
  }

  /** None if it is not a key of this build. */
  public static OptionalInt logSegmentNumber(String key) {
    String number = key.substring(PROGRESS_LOG.length());
    return number.matches("[0-9]{1,6}")
        ? OptionalInt.of(Integer.parseInt(number))
        : OptionalInt.empty();
  }

  public static String dependencyList(JobId job, String digest, int list) {
    return DEPENDENCY_LISTS + job + "/" + digest + "/" + list;
  }

  public static String featureLevel(NodeId node) {
    return FEATURE_LEVELS + node;
  }

  public static String provisioningRequest(String name) {
    return PROVISIONING_REQUESTS + name;
  }
}
