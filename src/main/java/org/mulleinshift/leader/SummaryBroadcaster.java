package org.mulleinshift.leader;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.autoscaling.Autoscaler;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.membership.PeerMessenger;
import org.mulleinshift.membership.StandbyFailover;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.JobTaskCounts;
import org.mulleinshift.scheduling.ClusterState;

/**
 * Broadcasts the jobs' task counts to all controllers and sends learned estimates to the standby.
 */
final class SummaryBroadcaster {
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final ClusterState state;
  private final LeadershipTerm term;
  private final Revision termNumber;
  private final Autoscaler autoscaler;
  private final EstimateReplicator estimates;
  private final StandbyFailover failover;
  private final PeerMessenger messenger;

  SummaryBroadcaster(
      ClusterState state,
      LeadershipTerm term,
      Revision termNumber,
      Autoscaler autoscaler,
      EstimateReplicator estimates,
      StandbyFailover failover,
      PeerMessenger messenger) {
    this.state = state;
    this.term = term;
    this.termNumber = termNumber;
    this.autoscaler = autoscaler;
    this.estimates = estimates;
    this.failover = failover;
    this.messenger = messenger;
  }

  /** Sends now and at a fixed interval from then on, until the term ends. */
  void start() {
    if (!term.isActive()) {
      return;
    }
    state.loop().after(INTERVAL, this::start);
    failover
        .chosenStandby()
        .ifPresent(
            standby ->
                estimates
                    .nextUpdate(termNumber.value(), autoscaler.bootTimes(), standby)
                    .ifPresent(message -> messenger.send(standby, message)));
    messenger.broadcast(new JobSummary(taskCounts()));
  }

  /** Task counts of each job that has done or running tasks; other jobs are left out. */
  private List<JobTaskCounts> taskCounts() {
    List<JobTaskCounts> counts = new ArrayList<>();
    for (Job job : state.jobs().all()) {
      int done = job.doneCount();
      int running = job.runningCount();
      if (done + running > 0) {
        counts.add(new JobTaskCounts(job.spec().id().value(), done, running));
      }
    }
    return counts;
  }
}
