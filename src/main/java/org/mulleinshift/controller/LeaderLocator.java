package org.mulleinshift.controller;

import java.util.Optional;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.model.ClusterView;

/** Knows who leads, also while this controller has lost the store. */
final class LeaderLocator {
  private final ClusterView view;
  private final StoreHealth storeHealth;
  private final PeerFailureDetector failureDetector;

  /**
   * A locator.
   *
   * @param view control keys as last shown by the store
   * @param storeHealth whether the view is kept current
   * @param failureDetector heartbeats of the peers
   */
  LeaderLocator(ClusterView view, StoreHealth storeHealth, PeerFailureDetector failureDetector) {
    this.view = view;
    this.storeHealth = storeHealth;
    this.failureDetector = failureDetector;
  }

  /** The leader by this controller's own view, unless the view may be out of date. */
  Optional<ClusterView.LeaderRecord> confirmedByStore() {
    return isStoreConnected() ? view.leader() : Optional.empty();
  }

  /** The leader by the peers that the store serves; asked only where the own view doesn't count. */
  Optional<ClusterView.LeaderRecord> reportedByPeers() {
    return isStoreConnected() ? Optional.empty() : failureDetector.leaderReportedByPeers();
  }

  /** The leader of the newest term, by the own view or by peers. */
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
