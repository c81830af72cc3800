package org.mulleinshift.controller;

import java.util.Optional;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.model.ClusterView;

/** Finds the current leader, even while this controller has lost the store. */
final class LeaderLocator {
  private final ClusterView view;
  private final StoreHealth storeHealth;
  private final PeerFailureDetector failureDetector;

  /**
   * Creates a locator.
   *
   * @param view the control keys as last read from the store
   * @param storeHealth tells whether the view may be out of date
   * @param failureDetector provides the heartbeats of the peers
   */
  LeaderLocator(ClusterView view, StoreHealth storeHealth, PeerFailureDetector failureDetector) {
    this.view = view;
    this.storeHealth = storeHealth;
    this.failureDetector = failureDetector;
  }

  /** Returns the leader in this controller's own view; empty if that may be out of date. */
  Optional<ClusterView.LeaderRecord> confirmedByStore() {
    return isStoreConnected() ? view.leader() : Optional.empty();
  }

  /**
   * Returns the leader reported by peers that the store serves; empty while this controller is
   * connected to the store, since its own view is then used.
   */
  Optional<ClusterView.LeaderRecord> reportedByPeers() {
    return isStoreConnected() ? Optional.empty() : failureDetector.leaderReportedByPeers();
  }

  /** Returns the leader of the newest term known from this controller's view or from peers. */
  Optional<ClusterView.LeaderRecord> newest() {
    Optional<ClusterView.LeaderRecord> fromView = view.leader();
    Optional<ClusterView.LeaderRecord> fromPeers = reportedByPeers();
    boolean peersKnowNewerTerm =
        fromPeers.isPresent()
            && (fromView.isEmpty() || fromPeers.get().term().compareTo(fromView.get().term()) > 0);
    return peersKnowNewerTerm ? fromPeers : fromView;
  }

  private boolean isStoreConnected() {
    return storeHealth.state() == StoreHealth.State.CONNECTED;
  }
}
