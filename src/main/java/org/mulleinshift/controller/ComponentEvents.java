package org.mulleinshift.controller;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes what happens in one component of a controller on to those that it concerns, in a fixed
 * order. No event comes before all components are built.
 */
final class ComponentEvents implements StoreHealth.Listener, ActiveJobsListener.Subscriber {
  private static final Logger LOG = LoggerFactory.getLogger(ComponentEvents.class);

  private final ControllerComponents components;

  /** The events of components that may not be built yet. */
  ComponentEvents(ControllerComponents components) {
    this.components = components;
  }

  /** Peers are asked how their connections to the store are. */
  @Override
  public void onSuspected() {
    components.heartbeats().requestReplies();
  }

  @Override
  public boolean peerServedSince(MonotonicTime moment) {
    return components.failureDetector().anyServedSince(moment);
  }

  /**
   * The connection to the store has changed: a leader that lost it has to transfer its leadership.
   */
  @Override
  public void onStateChanged(StoreHealth.State next) {
    logPeerConnections();
    components.heartbeats().send();
    if (next == StoreHealth.State.LOST) {
      components.leadership().transferLeadership();
      components.indirectRenewal().start();
    }
    components.leadership().observeElection();
  }

  @Override
  public void onActive(JobId id, Optional<JobRecord> job) {
    components.jobApi().onActive(id, job);
  }

  @Override
  public void onNoLongerActive(JobId id) {
    components.jobApi().onNoLongerActive(id);
  }

  @Override
  public void onCaughtUp(Revision revision) {
    components.jobApi().onCaughtUp(revision);
    components.activeJobs().currentAsOf().ifPresent(components.session()::onCancellationsKnown);
  }

  @Override
  public void onLoaded() {
    components.leadership().observeElection();
  }

  /** A job is cancelled: this controller's tasks of it are to stop. */
  void onJobCancelled(JobId job) {
    components.ownedShards().onCancelled(job);
  }

  /** This controller may stand for election again. */
  void onCandidacyAllowed() {
    components.leadership().observeElection();
  }

  /** Grants of shards have changed in the store. */
  void onGrantsChange() {
    components.session().verifyGrantsSoon();
  }

  /** The view of the control keys has changed. */
  void onControlKeysChanged() {
    components.ownedShards().onControlChange();
    components.currentTerm().ifLeading(Leader::onControlChange);
    components.leadership().observeElection();
  }

  /** The session, or whether machine types are known, has changed. */
  void onPreconditionChange() {
    components.ownedShards().onControlChange();
    components.leadership().observeElection();
  }

  /** Whether this controller reaches its workers has changed. */
  void onReachabilityChange() {
    logPeerConnections();
    components.heartbeats().send();
  }

  /**
   * This process was paused while the clocks ran on. That it received nothing meanwhile says
   * nothing of the others; whatever else was fresh before is checked by the clock where it is acted
   * on.
   */
  void onProcessPause(Duration pause) {
    LOG.warn("process paused, pause_ms={}", pause.toMillis());
    components.failureDetector().onProcessPause();
    components.ownedShards().onProcessPause();
  }

  private void logPeerConnections() {
    LOG.info("peer connections observed, connections={}", components.failureDetector().describe());
  }
}
