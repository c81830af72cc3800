package org.mulleinshift.bookkeeping;

import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;

/**
 * The layout of the state service.
 *
 * <ul>
 *   <li>{@code c/leader} the leading controller, bound to its lease
 *   <li>{@code c/n/NODE} a controller's session lease
 *   <li>{@code c/g/BLOCK} who holds a block, bound to the holder's session lease
 *   <li>{@code c/b/BLOCK} a block's zone and machines
 *   <li>{@code a/JOB} an accepted job that is not over, or is cancelled but not yet gone
 *   <li>{@code t/JOB} how a job ended; never removed
 *   <li>{@code p/JOB/CHUNK} done and delegated tasks of a part of a job
 *   <li>{@code r/NAME} a rental asked for and not yet answered
 * </ul>
 */
public final class Keys {
  public static final String CONTROL = "c/";
  public static final String LEADER = "c/leader";
  public static final String NODES = "c/n/";
  public static final String GRANTS = "c/g/";
  public static final String BLOCKS = "c/b/";
  public static final String ACTIVE = "a/";
  public static final String ENDED = "t/";
  public static final String PROGRESS = "p/";
  public static final String RENTALS = "r/";

  private Keys() {}

  public static String node(NodeId node) {
    return NODES + node;
  }

  public static String grant(BlockId block) {
    return GRANTS + block;
  }

  public static String block(BlockId block) {
    return BLOCKS + block;
  }

  public static String active(JobId job) {
    return ACTIVE + job;
  }

  public static String ended(JobId job) {
    return ENDED + job;
  }

  public static String progress(JobId job, int chunk) {
    return PROGRESS + job + "/" + chunk;
  }

  public static String rental(String name) {
    return RENTALS + name;
  }
}
