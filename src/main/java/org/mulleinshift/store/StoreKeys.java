package org.mulleinshift.store;

import java.util.OptionalInt;
import java.util.regex.Pattern;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;

/**
 * The layout of keys in the key-value store.
 *
 * <ul>
 *   <li>{@code c/leader} the leading controller, bound to its lease
 *   <li>{@code c/n/NODE} a controller's session lease
 *   <li>{@code c/g/SHARD} the owner of a shard, bound to the owner's session lease
 *   <li>{@code c/b/SHARD} a shard's zone and machines
 *   <li>{@code c/v/NODE} the feature level that a controller has published
 *   <li>{@code a/JOB} an accepted job, cancelled or not, whose end is not stored yet
 *   <li>{@code t/JOB} how a job ended; never removed
 *   <li>{@code p/JOB/CHUNK} completed and assigned tasks of a chunk of a job
 *   <li>{@code p/JOB/CHUNK/PATH} the same for a part of a chunk that was too long for one value
 *   <li>{@code l/NUMBER} a slot of the progress log: progress of chunks of several jobs
 *   <li>{@code w/JOB/DIGEST/N} a list of a job's dependencies that did not fit into its record
 *   <li>{@code r/NAME} a provisioning request that is not yet answered
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

  private static final Pattern SEGMENT_NUMBER = Pattern.compile("[0-9]{1,6}");

  private StoreKeys() {}

  /** The prefix that identifies the kind of a key, such as {@code t/} or {@code c/g/}. */
  static String kindOf(String key) {
    int searchFrom = key.startsWith(CONTROL) ? CONTROL.length() : 0;
    return key.substring(0, key.indexOf('/', searchFrom) + 1);
  }

  /** The key of a controller's session lease. */
  public static String node(NodeId node) {
    return NODES + node;
  }

  /** The key of a shard's owner. */
  public static String grant(ShardId shard) {
    return GRANTS + shard;
  }

  /** The shard of a key that {@link #grant} returned. */
  public static ShardId shardOfGrant(String key) {
    return new ShardId(key.substring(GRANTS.length()));
  }

  /** The key of a shard's zone and machines. */
  public static String shard(ShardId shard) {
    return SHARDS + shard;
  }

  /** The key of an accepted job whose end is not stored yet. */
  public static String activeJob(JobId job) {
    return ACTIVE_JOBS + job;
  }

  /** The key of the record of how a job ended. */
  public static String endedJob(JobId job) {
    return ENDED_JOBS + job;
  }

  /** The key of a slot of the progress log. */
  public static String logSegment(int number) {
    return PROGRESS_LOG + number;
  }

  /** The slot number of a progress log key; empty if this build does not write such keys. */
  public static OptionalInt logSegmentNumber(String key) {
    String number = key.substring(PROGRESS_LOG.length());
    return SEGMENT_NUMBER.matcher(number).matches()
        ? OptionalInt.of(Integer.parseInt(number))
        : OptionalInt.empty();
  }

  /**
   * The key of one list of a job's dependencies.
   *
   * @param digest digest of all lists of the submission
   * @param list index of the list, from 0
   */
  public static String dependencyList(JobId job, String digest, int list) {
    return DEPENDENCY_LISTS + job + "/" + digest + "/" + list;
  }

  /** The key of a controller's feature level. */
  public static String featureLevel(NodeId node) {
    return FEATURE_LEVELS + node;
  }

  /** The key of a provisioning request. */
  public static String provisioningRequest(String name) {
    return PROVISIONING_REQUESTS + name;
  }
}
