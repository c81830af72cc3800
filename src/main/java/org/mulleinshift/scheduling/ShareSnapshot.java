package org.mulleinshift.scheduling;

import java.util.List;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.Resources;

/**
 * The shares of classes and teams in one cycle.
 *
 * @param clusterCapacity the total size of the usable machines
 * @param groups the classes and the teams, in this order
 */
record ShareSnapshot(Resources clusterCapacity, List<EntityGroup> groups) {
  /** The share of the cluster that one task of the job takes. */
  double shareOfTask(Job job) {
    return job.spec().perTask().dominantShareOf(clusterCapacity);
  }
}
