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
 * Forwards events of one component of a controller to the components that handle them, in a fixed
 * order. No event occurs before all components are built.
 */
final class ComponentEvents implements StoreHealth.Listener, ActiveJobsListener.Subscriber {
  private static final Logger LOG = LoggerFactory.getLogger(ComponentEvents.class);

  private final ControllerComponents components;

  /** Creates a forwarder; the components may not be built yet. */
  ComponentEvents(ControllerComponents components) {
    this.components = components;
  }

  /** Asks the peers for the state of their connections to the store. */
  @Override
  public void onSuspected() {
    components.heartbeats().requestReplies();
  }

  @Override
  public boolean anyPeerServedSince(MonotonicTime moment) {
    return components.failureDetector().anyPeerServedSince(moment);
  }

  /**
   * Reports the new state to the peers. A controller that lost the store transfers its leadership,
   * if it leads, and has peers renew its leases.
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

  /** A job was cancelled: stops its tasks in the shards that this controller owns. */
  void onJobCancelled(JobId job) {
    components.ownedShards().onCancelled(job);
  }

  /** This controller may stand for election again after its term ended. */
  void onCandidacyAllowed() {
    components.leadership().observeElection();
  }

  /** Shard grants have changed in the store. */
  void onGrantsChange() {
    components.session().scheduleGrantVerification();
  }

  /** The view has been updated from the control keys. */
  void onControlKeysChanged() {
    components.cancellationAnnouncer().onControlKeysChanged();
    components.ownedShards().onControlKeysChanged();
    components.currentTerm().ifLeading(Leader::onControlKeysChanged);
    components.leadership().observeElection();
  }

  /** The session has changed, or the machine types have become known. */
  void onPreconditionChange() {
    components.ownedShards().onControlKeysChanged();
    components.leadership().observeElection();
  }

  /** The state of this controller's connection to its workers has changed. */
  void onReachabilityChange() {
    logPeerConnections();
    components.heartbeats().send();
  }

  /**
   * This process was paused while the clocks ran on. That it received no messages in the meantime
   * is no sign that their senders failed. Leases and other time limits are checked against the
   * clock where they matter.
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
